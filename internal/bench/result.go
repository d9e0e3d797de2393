package bench

import (
	"time"

	"rhubarbpoint/engine"
)

// Result is the result of one policy on one trace. All counts leave out requests of the warm-up, except those of
// tokens, bytes, retries and role changes.
type Result struct {
	Policy   string  `json:"policy"`
	Trace    string  `json:"trace"`
	Requests int     `json:"requests"`
	Good     int     `json:"good"`
	Goodput  float64 `json:"goodput_per_s"`
	// Late counts all requests that are neither good nor refused.
	Late        int `json:"late"`
	Refused     int `json:"refused"`
	Expired     int `json:"expired"`
	RoleChanges int `json:"role_changes"`
	// RepeatedPrefillTokens counts prompt tokens of prefix blocks that some engine had processed before.
	RepeatedPrefillTokens int64 `json:"tokens_prefilled_twice"`
	PrefillTokens         int64 `json:"tokens_prefilled"`
	InterRegionBytes      int64 `json:"bytes_between_regions"`
	Retries               int   `json:"retries"`
	// UnderestimatedTokens and OverestimatedTokens sum up by how much routing's estimates of uncached prompt tokens were
	// too low and too high.
	UnderestimatedTokens int64 `json:"tokens_underestimated"`
	OverestimatedTokens  int64 `json:"tokens_overestimated"`
	// GoodByWorkload and GoodByWorkspace count good completions.
	GoodByWorkload  map[string]int `json:"good_by_workload"`
	GoodByWorkspace map[string]int `json:"good_by_workspace"`
	// GoodBySlot counts good completions by region and by the time slot of their arrival.
	GoodBySlot [][]int           `json:"good_by_slot"`
	Schedule   []ScheduledChange `json:"schedule,omitempty"`
	// LateGaps counts completions with too many long gaps between tokens, LateFirst the other completions whose first
	// token was late.
	LateFirst int `json:"late_first"`
	LateGaps  int `json:"late_gaps"`
}

// ScheduledChange is a role change that was ordered, at a time in seconds.
type ScheduledChange struct {
	Seconds float64 `json:"s"`
	Engine  string  `json:"engine"`
	Role    string  `json:"role"`

	region     int
	from       engine.Role
	drainStart time.Duration // when the drain before the change started
}

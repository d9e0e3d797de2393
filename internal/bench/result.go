package bench

import (
	"time"

	"rhubarbpoint/engine"
)

// Result is one cell of the table: one policy on one trace.
type Result struct {
	Policy      string  `json:"policy"`
	Trace       string  `json:"trace"`
	Requests    int     `json:"requests"`
	Good        int     `json:"good"`
	Goodput     float64 `json:"goodput_per_s"`
	Late        int     `json:"late"`
	Refused     int     `json:"refused"`
	Expired     int     `json:"expired"`
	RoleChanges int     `json:"role_changes"`
	// RepeatedPrefillTokens counts prompt tokens of whole pieces that some engine had processed before.
	RepeatedPrefillTokens int64 `json:"tokens_prefilled_twice"`
	PrefillTokens         int64 `json:"tokens_prefilled"`
	InterRegionBytes      int64 `json:"bytes_between_regions"`
	Retries               int   `json:"retries"`
	// UnderestimatedTokens and OverEstimated are the prompt tokens by which routing expected too few or too many to process.
	UnderestimatedTokens int64 `json:"tokens_underestimated"`
	OverestimatedTokens  int64 `json:"tokens_overestimated"`
	// GoodByWorkload and GoodByWorkspace count good answers.
	GoodByWorkload  map[string]int `json:"good_by_workload"`
	GoodByWorkspace map[string]int `json:"good_by_workspace"`
	// GoodBySlot counts good answers by region and by the slot of their arrival.
	GoodBySlot [][]int           `json:"good_by_slot"`
	Schedule   []ScheduledChange `json:"schedule,omitempty"`
	// Mean late causes: requests whose first token was late, and those with long gaps.
	LateFirst int `json:"late_first"`
	LateGaps  int `json:"late_gaps"`
}

// ScheduledChange is one role change.
type ScheduledChange struct {
	Seconds float64 `json:"s"`
	Engine  string  `json:"engine"`
	Role    string  `json:"role"`

	region int
	from   engine.Role
	began  time.Duration // start of the drain
}

package simfleet

import (
	"time"

	"rhubarbpoint/internal/simclock"
)

// Deployment describes a simulated deployment and its load. Its JSON form is documented in docs/deployments.md.
type Deployment struct {
	Name string `json:"name"`
	// Length is how long requests arrive, in seconds.
	Length float64 `json:"length_s"`
	Zones  []Zone  `json:"zones"`
	// Services are the targets of requests.
	Services []Service `json:"services"`
	Kinds    []Kind    `json:"kinds"`
	Bursts   []Burst   `json:"bursts,omitempty"`
	Faults   []Fault   `json:"faults,omitempty"`
}

// Zone is an availability zone with its entry instances and its share of the requests.
type Zone struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	Instances int    `json:"instances"`
	// Load is the zone's share of the requests, relative to the sum over all zones.
	Load float64 `json:"load"`
}

// Service is a set of replicas.
type Service struct {
	Name string `json:"name"`
	// Replicas is the number of replicas in each zone.
	Replicas int `json:"replicas_per_zone"`
	// Slots is the number of requests that a replica runs at a time.
	Slots int `json:"slots"`
	// MaxQueue is the number of requests that wait at a replica before it refuses more.
	MaxQueue int `json:"queue"`
	// Slowness holds factors of the processing times, assigned to the replicas in turn. If it is empty, all replicas are
	// equally fast.
	Slowness []float64 `json:"slowness,omitempty"`
	// Slowdown makes replicas slower for short times, in addition to Slowness. Load reports name the current factor. If it
	// is nil, replicas are as fast as usual all the time, and reports name no factor.
	Slowdown *Slowdown `json:"slowdown,omitempty"`
	Engine   *Engine   `json:"engine,omitempty"`
}

// Engine describes the replicas of a model. Times are in milliseconds.
type Engine struct {
	// PrefillShare is the share of the replicas that is in stage prefill at the start.
	PrefillShare float64 `json:"prefill_share"`
	// KVTokens is the KV cache capacity of a replica, in tokens.
	KVTokens int `json:"kv_tokens"`
	// Step is the base time of a step of the batch, StepPerSlot the additional time for each running request.
	Step        float64 `json:"step_ms"`
	StepPerSlot float64 `json:"step_ms_per_slot"`
	// StepsPerEvent is the number of steps for each event of a stream.
	StepsPerEvent int `json:"steps_per_event"`
	// PrefillSpeed is in prompt tokens per millisecond, in stage prefill. ChunkTokens is the largest number of prompt
	// tokens in one step. Replicas in stage decode process prompts at half the speed and in chunks of a quarter of the
	// size.
	PrefillSpeed float64 `json:"prompt_tokens_per_ms"`
	ChunkTokens  int     `json:"chunk_tokens"`
	// AttentionTime is the time of attention per million pairs of a prompt token and a token before it. It makes the cost
	// of a prompt grow faster than its length.
	AttentionTime float64 `json:"ms_per_million_pairs"`
	// FirstEventOverhead is the time to add to the first event. The simulation does not apply it.
	FirstEventOverhead float64 `json:"first_ms"`
	// TransferTime is the time to transfer the KV cache of a thousand tokens between two replicas of a zone.
	TransferTime float64 `json:"fetch_ms_per_thousand"`
	// StageChangeTime is how long a replica is unavailable while it changes its stage.
	StageChangeTime float64 `json:"switch_ms"`
}

// prefillTime returns the milliseconds that a replica in stage prefill takes to process prompt tokens. pairs is the
// number of pairs of one of them and a token before it.
func (e *Engine) prefillTime(tokens int, pairs float64) float64 {
	return float64(tokens)/e.PrefillSpeed + pairs*e.AttentionTime/1e6
}

// Kind is one kind of request.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Rate is the number of requests per second in all zones together.
	Rate float64 `json:"rate_per_s"`
	// Target and Deadline are in milliseconds after the caller first sends the request.
	Target   float64 `json:"target_ms"`
	Deadline float64 `json:"deadline_ms"`
	// MaxEventGap is the longest gap between two events of a stream that still counts as in time, in milliseconds. Zero
	// sets no limit.
	MaxEventGap float64 `json:"pause_ms"`
	// Credit is the mean credit of a response in time, LateCredit that of a late one.
	Credit     float64 `json:"worth"`
	LateCredit float64 `json:"late_worth"`
	// CallerRetries is how often a caller sends a refused request again.
	CallerRetries int `json:"retries"`
	// ServiceTime is the mean service time of a request to a plain service, in milliseconds.
	ServiceTime float64 `json:"work_ms"`
	// Shared lists the levels of prompt segments that requests have in common. OwnTokens is the mean length of the segment
	// after them, which no other request has, in tokens.
	Shared    []SharedLevel `json:"shared,omitempty"`
	OwnTokens float64       `json:"own_tokens"`
	// Events is the mean number of events of a completion.
	Events float64 `json:"events"`
	// MaxAttempts is the largest number of attempts that may have run.
	MaxAttempts int `json:"attempts"`
}

// SharedLevel is one level of shared prompt segments. Each prompt has one segment of each level. Segments is the number
// of different segments, Tokens their mean length.
type SharedLevel struct {
	Segments int     `json:"subjects"`
	Tokens   float64 `json:"tokens"`
}

// Burst multiplies the rate of a kind by Factor for a time. At and For are in seconds.
type Burst struct {
	Kind   string  `json:"kind"`
	At     float64 `json:"at_s"`
	For    float64 `json:"for_s"`
	Factor float64 `json:"factor"`
}

// FaultKind is the kind of a scheduled fault.
type FaultKind string

const (
	// Crash stops replicas. Their running and waiting requests are lost, and they restart with empty caches.
	Crash FaultKind = "crash"
	// Slow multiplies the processing times of replicas.
	Slow FaultKind = "slow"
)

// Fault is a scheduled fault of some replicas of a service. At and For are in seconds.
type Fault struct {
	Kind    FaultKind `json:"what"`
	Service string    `json:"service"`
	At      float64   `json:"at_s"`
	For     float64   `json:"for_s"`
	// Share is the share of the service's replicas that the fault affects.
	Share float64 `json:"share"`
	// Factor multiplies the processing times if the fault is Slow.
	Factor float64 `json:"factor,omitempty"`
}

func (d *Deployment) length() time.Duration { return simclock.Seconds(d.Length) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

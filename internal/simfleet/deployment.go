package simfleet

import (
	"time"

	"rhubarbpoint/internal/simclock"
)

// Deployment describes what is played. Its JSON form is documented in docs/deployments.md.
type Deployment struct {
	Name string `json:"name"`
	// Length is the time in which requests arrive, in seconds.
	Length float64 `json:"length_s"`
	Zones  []Zone  `json:"zones"`
	// Services are what requests are sent to.
	Services []Service `json:"services"`
	Kinds    []Kind    `json:"kinds"`
	Bursts   []Burst   `json:"bursts,omitempty"`
	Faults   []Fault   `json:"faults,omitempty"`
}

// Zone is an availability zone with its share of the callers.
type Zone struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	Instances int    `json:"instances"`
	// Load is the zone's part of the requests, relative to the other zones.
	Load float64 `json:"load"`
}

// Service is a set of replicas.
type Service struct {
	Name string `json:"name"`
	// Replicas is the number in each zone.
	Replicas int `json:"replicas_per_zone"`
	Slots    int `json:"slots"`
	// MaxQueue is the number of requests that a replica keeps waiting before it refuses more.
	MaxQueue int `json:"queue"`
	// Slowness multiplies the times of the replicas by turns; empty means that all are equal.
	Slowness []float64 `json:"slowness,omitempty"`
	Engine   *Engine   `json:"engine,omitempty"`
}

// Engine describes model replicas. Times are in milliseconds.
type Engine struct {
	// PrefillShare is the part of the replicas that is in stage prefill at the start.
	PrefillShare float64 `json:"prefill_share"`
	// KVTokens is the memory of a replica.
	KVTokens int `json:"kv_tokens"`
	// Step is the time of a step of the batch, StepSlot that for each running request.
	Step        float64 `json:"step_ms"`
	StepPerSlot float64 `json:"step_ms_per_slot"`
	// StepsPerEvent is the number of steps for each event of a stream.
	StepsPerEvent int `json:"steps_per_event"`
	// PrefillSpeed is the number of prompt tokens per millisecond in stage prefill, Chunk the tokens of one piece. Replicas in stage
	// decode process prompts at half the pace in pieces of a quarter.
	PrefillSpeed float64 `json:"prompt_tokens_per_ms"`
	ChunkTokens  int     `json:"chunk_tokens"`
	// AttentionTime is the time for a million pairs of a new token and one before it, which makes long prompts dearer.
	AttentionTime float64 `json:"ms_per_million_pairs"`
	// FirstEventOverhead is the time that is added to the first event.
	FirstEventOverhead float64 `json:"first_ms"`
	// TransferTime is the time in which a thousand tokens of KV cache are moved within a zone.
	TransferTime float64 `json:"fetch_ms_per_thousand"`
	// StageChangeTime is how long a replica is away for a change of its stage.
	StageChangeTime float64 `json:"switch_ms"`
}

// read returns the milliseconds for a piece of prompts in stage prefill.
func (e *Engine) read(tokens int, pairs float64) float64 {
	return float64(tokens)/e.PrefillSpeed + pairs*e.AttentionTime/1e6
}

// Kind is one kind of request.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Rate is the number of requests a second in all zones.
	Rate float64 `json:"rate_per_s"`
	// Target and Deadline are in milliseconds from the caller's first try.
	Target   float64 `json:"target_ms"`
	Deadline float64 `json:"deadline_ms"`
	// MaxEventGap is the longest time between two events of a stream, in milliseconds.
	MaxEventGap float64 `json:"pause_ms"`
	// Credit and LateWorth are what an answer in time and a late one are worth.
	Credit     float64 `json:"worth"`
	LateCredit float64 `json:"late_worth"`
	// CallerRetries is how often a refused caller comes back.
	CallerRetries int `json:"retries"`
	// ServiceTime is the mean time of a request to a plain service, in milliseconds.
	ServiceTime float64 `json:"work_ms"`
	// Shared are prompt parts that requests have in common, Own is the mean of the tokens after them.
	Shared    []SharedLevel `json:"shared,omitempty"`
	OwnTokens float64       `json:"own_tokens"`
	// Events is the mean number of events of an answer.
	Events float64 `json:"events"`
	// MaxAttempts is the number of attempts that may have run.
	MaxAttempts int `json:"attempts"`
}

// SharedLevel is a level of prompt parts, of which each request has one.
type SharedLevel struct {
	Segments int     `json:"subjects"`
	Tokens   float64 `json:"tokens"`
}

// Burst multiplies the rate of a kind for a time.
type Burst struct {
	Kind   string  `json:"kind"`
	At     float64 `json:"at_s"`
	For    float64 `json:"for_s"`
	Factor float64 `json:"factor"`
}

// FaultKind says what is wrong with replicas.
type FaultKind string

const (
	// Crash takes replicas away. What runs there is lost, and they come back empty.
	Crash FaultKind = "crash"
	// Slow multiplies the times of replicas.
	Slow FaultKind = "slow"
)

// Fault is trouble of replicas.
type Fault struct {
	Kind    FaultKind `json:"what"`
	Service string    `json:"service"`
	At      float64   `json:"at_s"`
	For     float64   `json:"for_s"`
	// Share is the part of the service's replicas that is concerned.
	Share float64 `json:"share"`
	// Factor is by how much replicas are slow.
	Factor float64 `json:"factor,omitempty"`
}

func (d *Deployment) length() time.Duration { return simclock.Seconds(d.Length) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

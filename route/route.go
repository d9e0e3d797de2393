// Package route chooses an engine for each request from late load reports, the instance's own sends and the prefix
// caches. Its decisions are functions of the table and a given time, so that traces can be replayed through them.
package route

import (
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// Errors of routing, to be tested with errors.Is.
var (
	// ErrNoEngine means that no engine serves the model and version.
	ErrNoEngine = errors.New("route: no engine available")
	// ErrTooLate means that the best estimate misses the deadline.
	ErrTooLate = errors.New("route: no engine can answer in time")
)

// Request is what routing knows of a request.
type Request struct {
	ID      string
	Model   string
	Version string
	// PrefixHashes are the hashes of the prompt's prefixes, one for each full piece of engine.PieceTokens.
	PrefixHashes []uint64
	PromptTokens int
	MaxTokens    int
	Deadline     time.Time
	// Arrived is when the request reached the instance; zero means that it has just arrived.
	Arrived time.Time
	// Deprioritized names engines that must not be chosen unless no other is left.
	Deprioritized map[string]bool
	// Excluded names engines that must not be chosen at all.
	Excluded map[string]bool
}

// Choice is the engine to run a request on.
type Choice struct {
	EngineID string
	Address  string
	// PrefillID and PrefillAddress name another engine that processes the prompt first, if that pays.
	PrefillID      string
	PrefillAddress string
	// FirstToken is the estimated time to the first token.
	FirstToken time.Duration
	// Finish is the estimated time to the last token.
	Finish time.Duration
	// Cost is the estimated work in seconds of one engine.
	Cost float64
	// UncachedTokens is the estimated number of prompt tokens that must be processed.
	UncachedTokens int
	// HoldFor is set when the request would be late and delay others that would not: hold it back for this long, then
	// call Pick again. No engine is chosen.
	HoldFor time.Duration
}

// Outcome is what became of an attempt.
type Outcome struct {
	FirstToken time.Duration
	Tokens     int
	Failed     bool
}

// Router chooses engines. Implementations are safe for concurrent use.
type Router interface {
	// Pick returns ErrNoEngine or ErrTooLate when there is no choice.
	Pick(now time.Time, req *Request) (Choice, error)
	// Sent counts an attempt against an engine until Finished is called with the same request.
	Sent(now time.Time, choice Choice, req *Request)
	Finished(now time.Time, choice Choice, req *Request, outcome Outcome)
}

// Sink takes what an instance learns of its upstreams. Implementations are safe for concurrent use.
type Sink interface {
	SetDocument(doc *config.Document)
	UpdateLoad(now time.Time, load *peerpb.UpstreamLoad)
	UpdateCache(engineID string, events *engine.CacheEvents)
	UpdateZone(now time.Time, zone *peerpb.ZoneSummary)
	// SetLeaving excludes an engine from new work until a start with another epoch is reported.
	SetLeaving(upstream string, epochHash uint64)
}

// Package route chooses an engine for each chat completion from delayed load reports, this instance's own in-flight
// requests and the engines' prefix caches. Decisions depend only on the table and the given time, so that traces can be
// replayed. Package place is its counterpart for requests that are forwarded by configured routes.
package route

import (
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// Errors of routing. Test for them with errors.Is.
var (
	// ErrNoEngine means that no engine that serves the model and version accepts requests.
	ErrNoEngine = errors.New("route: no engine available")
	// ErrTooLate means that the earliest estimated finish is after the deadline.
	ErrTooLate = errors.New("route: no engine can finish by the deadline")
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID      string
	Model   string
	Version string
	// PrefixHashes are the hashes of the prompt's prefixes, one for each full block of engine.BlockTokens.
	PrefixHashes []uint64
	PromptTokens int
	MaxTokens    int
	Deadline     time.Time
	// Arrived is when the request reached the instance; zero means that it has just arrived.
	Arrived time.Time
	// Deprioritized holds the IDs of engines that are chosen only if no other engine is available.
	Deprioritized map[string]bool
	// Excluded holds the IDs of engines that are never chosen.
	Excluded map[string]bool
}

// Choice is the engine to run a request on.
type Choice struct {
	EngineID string
	Address  string
	// PrefillID and PrefillAddress identify another engine that processes the prompt first. They are empty if the
	// chosen engine processes it itself.
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
	// HoldFor is set if the request would be late and would delay requests that are in time. The request is to be held
	// back for this long before the next call of Pick. No engine is chosen.
	HoldFor time.Duration
}

// Outcome is the result of an attempt.
type Outcome struct {
	FirstToken time.Duration // time to the first token
	Tokens     int           // output tokens
	Failed     bool
}

// Router chooses engines. Implementations are safe for concurrent use.
type Router interface {
	// Pick chooses an engine, or returns ErrNoEngine or ErrTooLate.
	Pick(now time.Time, req *Request) (Choice, error)
	// Sent counts a request as in flight at the chosen engines until Finished is called with the same request.
	Sent(now time.Time, choice Choice, req *Request)
	Finished(now time.Time, choice Choice, req *Request, outcome Outcome)
}

// Sink receives the configuration and the reported state of an instance's upstreams. Implementations are safe for
// concurrent use.
type Sink interface {
	SetDocument(doc *config.Document)
	UpdateLoad(now time.Time, load *peerpb.UpstreamLoad)
	UpdateCache(engineID string, events *engine.CacheEvents)
	UpdateZone(now time.Time, zone *peerpb.ZoneSummary)
	// SetLeaving excludes an engine from new requests until a load report shows a start with another epoch.
	SetLeaving(upstream string, epochHash uint64)
}

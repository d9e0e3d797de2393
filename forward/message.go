// Package forward passes requests of callers on to other instances, which serve them as their own. It chooses the
// instance and knows whether a request may have run; package entry decides which requests are passed on.
package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Message is a request to forward.
type Message struct {
	Method, Target, Host string
	// Header returns the header for an attempt that begins at a time.
	Header func(now time.Time) http.Header
	Body   []byte
}

// Peer is another instance.
type Peer struct{ ID, Region string }

// Errors of Client.Do, to be tested with errors.Is.
var (
	// ErrNotRun means that no instance has run the request and none will.
	ErrNotRun = errors.New("forward: not run")
	// ErrMayHaveRun means that an instance got the request and its answer did not arrive.
	ErrMayHaveRun = errors.New("forward: no answer")
)

// CodeIsolated is the code of a *peer.RemoteError by which an instance refuses a request because it reaches no replicas
// itself; CodeStopping that of one that stops.
const (
	CodeIsolated = "isolated"
	CodeStopping = "stopping"
)

// HeaderIsolated marks a response by which an instance that reaches no replicas refuses a forwarded request. Callers do
// not see it.
const HeaderIsolated = "Rhubarbpoint-Isolated"

package relay

import (
	"net/http"
	"time"
)

// Dialect translates between the header fields of an HTTP protocol variant and the types of this package.
// Implementations are safe for concurrent use.
type Dialect interface {
	// ParseRequest parses a caller's request, except for its body. An error describes what is wrong with the request.
	ParseRequest(r *http.Request, now time.Time) (*Call, error)
	// AttemptHeader returns the header of one attempt. It must not modify the header of the call.
	AttemptHeader(call *Call, attempt *Attempt, now time.Time) http.Header
	// PeerHeader returns the header of a caller's request for another instance, which parses it as if it came from the
	// caller: with the caller's key, and with a deadline. It must not modify header.
	PeerHeader(header http.Header, deadline, now time.Time) http.Header
	// ParseResponse parses the status and the header of a response.
	ParseResponse(status int, header http.Header) ResponseInfo
	// ParseCacheHandle parses the response to an attempt that processes only the prompt.
	ParseCacheHandle(attempt *Attempt, body []byte) (*CacheHandle, error)
}

// ResponseInfo is what the header of a response says, apart from the status.
type ResponseInfo struct {
	// NotRun reports that the replica has not run the request and will not run it.
	NotRun bool
	// Misdirected reports that the address belongs to another replica than the expected one.
	Misdirected bool
	// Authentic reports that the response carries the signature of a replica that ran the request.
	Authentic bool
	// RequestID is the request that the response belongs to, or empty if the header does not say.
	RequestID string
	// Unidentified reports that the response lacks the request ID that the responses of such replicas have.
	Unidentified bool
	// Closing reports that the replica closes the connection after the response.
	Closing bool
	// KeepAlive is how long the replica keeps an idle connection open, or 0 if the header does not say.
	KeepAlive time.Duration
	// Leaving reports that the replica is about to end and wants no new requests.
	Leaving bool
	// Pause is how long the replica wants no request from this instance, or 0.
	Pause time.Duration
	// Load is the load that the replica reports, or nil.
	Load *Load
	// Limit is the number of requests a second that the replica takes from all instances together, or nil if the replica
	// names none.
	Limit *float64
}

// Load is the number of running and waiting requests of a replica, and of its batch slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the factor by which work takes longer than usual on the replica's machine at this moment, 1 as usual. It
	// is 0 if the replica names no usable factor.
	Slowdown float64
}

package relay

import (
	"net/http"
	"time"
)

// Dialect translates between the header fields of one wire and the types of this package. Implementations are safe for
// concurrent use.
type Dialect interface {
	// ParseRequest reads a caller's request, except for its body. An error says what is wrong with the request.
	ParseRequest(r *http.Request, now time.Time) (*Call, error)
	// AttemptHeader returns the header fields of one send. The call's own header must not be modified.
	AttemptHeader(call *Call, leg *Attempt, now time.Time) http.Header
	// ParseResponse reads what a replica says in the head of its answer.
	ParseResponse(status int, header http.Header) ResponseInfo
	// ParseCacheHandle reads the answer to a leg that processes only the prompt.
	ParseCacheHandle(leg *Attempt, body []byte) (*CacheHandle, error)
}

// ResponseInfo is what the head of an answer says besides the status.
type ResponseInfo struct {
	// NotRun is a replica's statement that it has not run the request and will not.
	NotRun bool
	// Misdirected is set when another replica than the expected one has the address.
	Misdirected bool
	// Authentic says that the answer bears the mark of a replica that ran the request.
	Authentic bool
	// RequestID is the request that the answer belongs to, empty if it does not say.
	RequestID string
	// Closing says that the replica closes the connection after the answer.
	Closing bool
	// KeepAlive is how long the replica keeps an idle connection, 0 if it does not say.
	KeepAlive time.Duration
	// Load is the replica's statement of its load, or nil.
	Load *Load
}

// Load is a replica's count of its requests.
type Load struct{ Running, Waiting, Slots int }

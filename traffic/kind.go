package traffic

// Kind is the kind of a route's requests, which decides whether they may be executed again and how the response is
// sent.
type Kind int

// Kinds of request.
const (
	// AtMostOnce is for requests that may be executed at most once.
	AtMostOnce Kind = iota
	// Idempotent is for requests that may be executed any number of times.
	Idempotent
	// Stream is for requests whose response is a stream of events. They may be executed at most once, unless the route
	// is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "once"
}

package traffic

// Kind says what a request may be repeated as.
type Kind int

// Kinds of request.
const (
	// AtMostOnce is for requests that may run at most once.
	AtMostOnce Kind = iota
	// Idempotent is for requests that may run any number of times.
	Idempotent
	// Stream is for answers that are sequences of events. They may run at most once, unless the route is resumable.
	Stream
)

// String returns the name for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "once"
}

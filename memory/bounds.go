// Package memory accounts for the bytes that an instance holds for requests, and decides what gives way when they reach
// a bound: bodies of new requests are refused, and callers that accept nothing are ended.
package memory

const (
	// heldFraction is the divisor that gives the bytes held in sum from the machine's memory. The Go heap reaches about
	// twice its live data before the garbage collector has finished, so a fifth for what is held needs two fifths. The
	// rest is for the tables, stacks and connections of the instance, 64 MB of a machine with 144 MB, and for copies and
	// buffers of fixed size that are not counted.
	heldFraction = 5
	// Bodies get three quarters of the sum, so that requests which were accepted have room for their responses.
	bodiesNumerator, bodiesDenominator = 3, 4
	// requestFraction bounds one request. The largest bodies that routes allow by default, 4 MB, and responses up to
	// 14 MB fit on a machine with 144 MB.
	requestFraction = 2
	// replicaFraction bounds the request bodies that one slow replica collects.
	replicaFraction = 4
	// streamFraction, minStream and maxStream bound the events of a stream that are read from the replica ahead of the
	// caller. The largest event has 1 MB; text of 100 bytes an event and 50 events a second fills 64 KB in 13 s.
	streamFraction = 32
	minStream      = 64 << 10
	maxStream      = 1 << 20
)

// Bounds are the most bytes that may be held. The zero value means that there are no bounds.
type Bounds struct {
	// Sum is for all requests together, Bodies the part of it that large bodies of new requests may take.
	Sum    int64 `json:"sum"`
	Bodies int64 `json:"bodies"`
	// Request is for one request, Stream the part of it for events that its caller has not accepted.
	Request int64 `json:"request"`
	Stream  int64 `json:"stream"`
	// Replica is for bodies in flight to one replica that has more requests than it works on.
	Replica int64 `json:"replica"`
}

// NewBounds returns the bounds for a machine's memory in megabytes, or none for 0.
func NewBounds(megabytes int) Bounds {
	sum := int64(megabytes) * 1e6 / heldFraction
	if sum <= 0 {
		return Bounds{}
	}
	return Bounds{
		Sum: sum, Bodies: sum / bodiesDenominator * bodiesNumerator, Request: sum / requestFraction,
		Stream: min(max(sum/streamFraction, minStream), maxStream), Replica: sum / replicaFraction,
	}
}

// Limited reports whether there are bounds.
func (b Bounds) Limited() bool { return b.Sum > 0 }

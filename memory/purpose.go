package memory

// Purpose is what bytes are held for.
type Purpose int

// Purposes of bytes.
const (
	// Body is the body of a request that no replica has received.
	Body Purpose = iota
	// Response is a part of the response to a request that was accepted.
	Response
)

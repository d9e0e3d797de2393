package traffic

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes is the largest size of a request body; zero means the server's own limit.
	MaxBodyBytes int64
}

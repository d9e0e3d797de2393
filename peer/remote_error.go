package peer

// RemoteError is an error that the called instance returned, or that a handler returns to send its code to the caller.
type RemoteError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Code + ": " + e.Message }

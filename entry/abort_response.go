package entry

import "net/http"

// abortResponse ends a response that has begun and cannot be completed. It does not return. It aborts the connection, which
// keeps the response from looking complete. To a caller in HTTP/1.0, the end of the connection is the end of a response
// without length, so its connection is reset.
func abortResponse(w http.ResponseWriter, protoMinor int) {
	if protoMinor == 0 {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0) // of a closed connection
			}
			conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

package entry

import (
	"net/http"
	"strconv"
	"time"
)

// writeChunk is the part of a body that a caller must accept within writeTimeout.
const writeChunk = 64 << 10

// writeBody writes a response of known length. A slow caller may take long for the whole body, but not for one chunk.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	for len(body) > 0 {
		n := min(writeChunk, len(body))
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		body = body[n:]
	}
}

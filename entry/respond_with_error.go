package entry

import (
	"io"
	"net/http"
	"time"
)

const (
	// lingerTimeout and lingerBytes limit how much of an unneeded body is still read. A connection that is closed with
	// unread data is reset, and the reset can overtake the error response that was sent before.
	lingerTimeout = time.Second
	lingerBytes   = 64 << 20
)

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	reachedEOF bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.reachedEOF = b.reachedEOF || err == io.EOF
	return n, err
}

// respondWithError writes an error response. A caller that is still sending gets time to read the response before the
// connection is closed.
func respondWithError(w http.ResponseWriter, r *http.Request, body *trackedBody, err *Error) {
	if r.ContentLength == 0 || body.reachedEOF {
		err.write(w)
		return
	}
	control := http.NewResponseController(w)
	control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	err.write(w)
	control.Flush()
	control.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(body, lingerBytes))
}

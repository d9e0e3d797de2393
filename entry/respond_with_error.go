package entry

import (
	"io"
	"net/http"
	"time"
)

const (
	// lingerTimeout and lingerBytes bound what is still read of a body that nobody needs. A connection that is closed with
	// unread data is reset, and a reset can overtake the error that was sent before.
	lingerTimeout = time.Second
	lingerBytes   = 64 << 20
)

// trackedBody notes whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	reachedEOF bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.reachedEOF = b.reachedEOF || err == io.EOF
	return n, err
}

// respondWithError answers with an error. If the caller is still sending, it gets time to read the answer before the connection
// is closed.
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

package entry

import (
	"net/http"
	"strconv"
	"time"

	"rhubarbpoint/memory"
)

const (
	// writeChunk is the part of a body that a caller must accept within writeTimeout.
	writeChunk = 64 << 10
	// writePiece is the part of a chunk that counts as progress of a caller, where memory has bounds.
	writePiece = 16 << 10
)

// writeBody writes a response of known length. A slow caller may take long for the whole body, but not for one chunk.
func writeBody(w http.ResponseWriter, status int, body []byte, holding *memory.Holding) {
	control := http.NewResponseController(w)
	holding.OnEnd(func() { control.SetWriteDeadline(time.Now()) })
	defer holding.OnEnd(nil)
	defer holding.CallerDone()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	for len(body) > 0 {
		n := min(writeChunk, len(body))
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if writeChunkOf(w, body[:n], holding) != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		body = body[n:]
	}
}

// writeChunkOf writes a chunk in pieces, between which it checks whether the caller was ended.
func writeChunkOf(w http.ResponseWriter, chunk []byte, holding *memory.Holding) error {
	piece := len(chunk)
	if holding.Limited() {
		piece = writePiece
	}
	for len(chunk) > 0 {
		n := min(piece, len(chunk))
		if err := holding.WaitForCaller(); err != nil {
			return err
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	return nil
}

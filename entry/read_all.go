package entry

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/memory"
	"rhubarbpoint/retry"
)

// firstBodyBytes is the size of the first buffer for a body of unknown length.
const firstBodyBytes = 4 << 10

// readAll reads the whole body. It returns an error if the body is larger than limit, not complete at until, or finds no
// room in the account.
func (s *Server) readAll(w http.ResponseWriter, r *http.Request, limit int64, until time.Time, holding *memory.Holding) ([]byte, *Error) {
	bounds := s.opts.Memory.Bounds()
	if bounds.Limited() {
		limit = min(limit, bounds.Request-1, bounds.Bodies-1) // a larger body never fits
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(until)
	var body []byte
	var err error
	if bounds.Limited() {
		body, err = readHeld(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, holding, func() { control.SetReadDeadline(time.Now()) })
	} else if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit)); err == nil {
		holding.Add(int64(cap(body)))
	}
	var large *http.MaxBytesError
	var full *memory.FullError
	switch {
	case err == nil:
		control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &large):
		return nil, tooLarge(limit)
	case errors.Is(err, memory.ErrNoRoom) && !errors.As(err, &full):
		return nil, tooLarge(limit) // a body of unknown length whose buffer can never fit
	case errors.Is(err, memory.ErrNoRoom), errors.Is(err, memory.ErrEnded):
		return nil, s.noRoom(r, holding, err)
	}
	if _, _, ended := holding.Ended(); ended {
		return nil, s.noRoom(r, holding, memory.ErrEnded)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, notRun(http.StatusRequestTimeout, codeBodyTimeout, "the body did not arrive in time")
	}
	return nil, notRun(http.StatusBadRequest, codeBadRequest, "the body was cut off")
}

// readHeld reads a body of the given length, or -1, into buffers for which the account has room. The room for a body of
// known length is reserved before its first byte is read, so that bodies which arrive together are refused at once
// and not when most of them has arrived. interrupt ends a read.
func readHeld(body io.Reader, length int64, holding *memory.Holding, interrupt func()) ([]byte, error) {
	size := int64(firstBodyBytes)
	switch {
	case length == 0:
		return nil, holding.Reserve(memory.Body, 0)
	case length > 0:
		size = length + 1 // one byte more, to see the end
	}
	if err := holding.Reserve(memory.Body, size); err != nil {
		return nil, err
	}
	holding.OnEnd(interrupt)
	defer holding.OnEnd(nil)
	defer holding.CallerDone()
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			larger := 2 * int64(cap(buf))
			if err := holding.Reserve(memory.Body, larger); err != nil {
				return nil, err
			}
			grown := append(make([]byte, 0, larger), buf...)
			holding.Add(-int64(cap(buf)))
			buf = grown
		}
		if err := holding.WaitForCaller(); err != nil {
			return nil, err
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// noRoom counts and logs a request that is refused for lack of memory, and returns its error.
func (s *Server) noRoom(r *http.Request, holding *memory.Holding, err error) *Error {
	roomIn := time.Duration(0)
	var full *memory.FullError
	if errors.As(err, &full) {
		roomIn = full.RoomIn
	}
	failed := notRun(http.StatusServiceUnavailable, codeNoMemory, "the instance holds too much for other requests").
		withRetryAfter(retry.RetryAfter(roomIn, 0, rand.Float64))
	s.metrics.memoryRefused.Inc(1)
	s.logRefusedForMemory(r, holding.Request, failed, err)
	return failed
}

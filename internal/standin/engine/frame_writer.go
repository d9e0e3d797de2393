package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"rhubarbpoint/engine"
)

// frameWriter writes the frames of one stream and spoils them as told.
type frameWriter struct {
	ctx      context.Context
	w        http.ResponseWriter
	isSilent func() bool
	fault    FrameFault
	at       int
	held     *engine.Frame
}

// write sends a frame, or panics with http.ErrAbortHandler to break the connection.
func (w *frameWriter) write(f engine.Frame) {
	if w.held != nil {
		held := *w.held
		w.held = nil
		w.send(f)
		w.send(held)
		return
	}
	switch {
	case f.End:
		w.end(f)
	case !f.Keepalive && f.Index == w.at:
		w.spoil(f)
	default:
		w.send(f)
	}
}

func (w *frameWriter) end(f engine.Frame) {
	switch w.fault {
	case FaultNoEnd:
		return
	case FaultBadTotal:
		f.Total++
	}
	w.send(f)
}

func (w *frameWriter) spoil(f engine.Frame) {
	other := f
	other.Token = "foreign "
	switch w.fault {
	case FaultOutOfOrder:
		w.held = &f
		return
	case FaultDuplicate:
		other = f
	case FaultForeign:
		other.RequestID = "another"
	case FaultLate:
		other.Attempt = "earlier"
	case FaultWrongVersion:
		other.Version = "another"
	case FaultChanged:
		w.send(f)
	case FaultTruncated:
		line, _ := json.Marshal(&f)
		w.raw(line[:len(line)/2])
		panic(http.ErrAbortHandler)
	case FaultGarbage:
		w.raw([]byte("{\"request_id\":17\n"))
	case FaultBroken:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		<-w.ctx.Done()
		return
	default:
		w.send(f)
		return
	}
	w.send(other)
	if w.fault == FaultDuplicate || w.fault == FaultForeign || w.fault == FaultLate {
		w.send(f)
	}
}

func (w *frameWriter) send(f engine.Frame) {
	var line bytes.Buffer
	json.NewEncoder(&line).Encode(&f)
	w.raw(line.Bytes())
}

func (w *frameWriter) raw(line []byte) {
	if w.isSilent() {
		<-w.ctx.Done()
	}
	if w.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := w.w.Write(line); err != nil {
		panic(http.ErrAbortHandler)
	}
	http.NewResponseController(w.w).Flush()
}

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"rhubarbpoint/engine"
)

// frameWriter writes the frames of one stream and injects a fault into them.
type frameWriter struct {
	ctx        context.Context
	w          http.ResponseWriter
	isSilent   func() bool
	fault      FrameFault
	faultIndex int
	heldFrame  *engine.Frame
}

// write sends a frame, with the fault if it is due, or panics with http.ErrAbortHandler to break the connection.
func (w *frameWriter) write(f engine.Frame) {
	if w.heldFrame != nil {
		held := *w.heldFrame
		w.heldFrame = nil
		w.send(f)
		w.send(held)
		return
	}
	switch {
	case f.End:
		w.writeEnd(f)
	case !f.Keepalive && f.Index == w.faultIndex:
		w.injectFault(f)
	default:
		w.send(f)
	}
}

func (w *frameWriter) writeEnd(f engine.Frame) {
	switch w.fault {
	case FaultNoEnd:
		return
	case FaultBadTotal:
		f.Total++
	}
	w.send(f)
}

func (w *frameWriter) injectFault(f engine.Frame) {
	other := f
	other.Token = "foreign "
	switch w.fault {
	case FaultOutOfOrder:
		w.heldFrame = &f
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
		w.writeBytes(line[:len(line)/2])
		panic(http.ErrAbortHandler)
	case FaultGarbage:
		w.writeBytes([]byte("{\"request_id\":17\n"))
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
	w.writeBytes(line.Bytes())
}

func (w *frameWriter) writeBytes(line []byte) {
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

package engine

import (
	"encoding/json"
	"net/http"
)

// Faults are the injected faults. POST /admin/faults sets them; each call replaces all of them.
type Faults struct {
	// CrashMarker crashes the engine when a request enters the batch with a message that contains this text.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Frame is injected at the token with index FrameAt, in the next Streams streams.
	Frame   FrameFault `json:"frame,omitempty"`
	FrameAt int        `json:"frame_at,omitempty"`
	Streams int        `json:"streams,omitempty"`
	// DropLoad breaks the connection of requests for load reports.
	DropLoad bool `json:"drop_load,omitempty"`
	// FailImport makes imports of KV cache fail, FailExport exports.
	FailImport bool `json:"fail_import,omitempty"`
	FailExport bool `json:"fail_export,omitempty"`
}

// FrameFault is a fault that is injected into the frames of a stream.
type FrameFault string

// Faults of frames.
const (
	FaultDuplicate    FrameFault = "duplicate"     // the frame is sent twice
	FaultOutOfOrder   FrameFault = "out_of_order"  // the next frame is sent first
	FaultTruncated    FrameFault = "truncated"     // half of the frame is sent, then the connection breaks
	FaultForeign      FrameFault = "foreign"       // a frame of another request is sent first
	FaultLate         FrameFault = "late"          // a frame of an earlier attempt is sent first
	FaultWrongVersion FrameFault = "wrong_version" // a frame of another model version is sent instead
	FaultChanged      FrameFault = "changed"       // the frame is sent again with another token
	FaultGarbage      FrameFault = "garbage"       // a line that is no valid frame is sent
	FaultNoEnd        FrameFault = "no_end"        // the stream closes without an end frame
	FaultBadTotal     FrameFault = "bad_total"     // the end frame's total is one too high
	FaultBroken       FrameFault = "broken"        // the connection breaks
	FaultSilent       FrameFault = "silent"        // no more frames are sent, the connection stays open
)

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Silence makes the connections that are open now carry no more data. New connections work.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentConn = e.lastConn
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

func (e *Engine) handleSilence(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	e.Silence()
}

// takeFrameFault returns the fault and the index of its frame for a stream that starts now. The caller holds the mutex.
func (e *Engine) takeFrameFault() (FrameFault, int) {
	if e.faults.Streams <= 0 {
		return "", 0
	}
	e.faults.Streams--
	return e.faults.Frame, e.faults.FrameAt
}

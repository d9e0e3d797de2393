package engine

import (
	"encoding/json"
	"net/http"
)

// Faults are switched on by POST /admin/faults; each call replaces all of them.
type Faults struct {
	// CrashMarker crashes the engine when it starts a request with a message that contains this text.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Frame spoils the stream at the token with index FrameAt, in the next Streams streams.
	Frame   FrameFault `json:"frame,omitempty"`
	FrameAt int        `json:"frame_at,omitempty"`
	Streams int        `json:"streams,omitempty"`
	// DropLoad leaves load reports unanswered with an error.
	DropLoad bool `json:"drop_load,omitempty"`
	// FailImport fails imports of KV cache, FailExport exports.
	FailImport bool `json:"fail_import,omitempty"`
	FailExport bool `json:"fail_export,omitempty"`
}

// FrameFault is a way to spoil a stream.
type FrameFault string

// The frame faults.
const (
	FaultDuplicate    FrameFault = "duplicate"     // the frame comes twice
	FaultOutOfOrder   FrameFault = "out_of_order"  // the next frame comes first
	FaultTruncated    FrameFault = "truncated"     // half a frame, then the connection ends
	FaultForeign      FrameFault = "foreign"       // a frame of another request
	FaultLate         FrameFault = "late"          // a frame of an earlier attempt
	FaultWrongVersion FrameFault = "wrong_version" // a frame of another version
	FaultChanged      FrameFault = "changed"       // the frame comes again with another token
	FaultGarbage      FrameFault = "garbage"       // a line that is no frame
	FaultNoEnd        FrameFault = "no_end"        // the stream closes without an end frame
	FaultBadTotal     FrameFault = "bad_total"     // an end frame that claims more tokens
	FaultBroken       FrameFault = "broken"        // the connection ends
	FaultSilent       FrameFault = "silent"        // no more frames, the connection stays open
)

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Silence stops all data on the connections that are open now. New ones work.
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

func (e *Engine) silenceOpen(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	e.Silence()
}

// takeFrameFault returns the fault for a stream that starts now. The caller holds the mutex.
func (e *Engine) takeFrameFault() (FrameFault, int) {
	if e.faults.Streams <= 0 {
		return "", 0
	}
	e.faults.Streams--
	return e.faults.Frame, e.faults.FrameAt
}

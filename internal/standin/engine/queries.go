package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rhubarbpoint/engine"
)

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report, dropReport := e.reports.visible(time.Now(), e.opts.LoadLag), e.faults.DropLoad
	e.mu.Unlock()
	if dropReport {
		panic(http.ErrAbortHandler)
	}
	json.NewEncoder(w).Encode(report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.after(time.Now(), seq)
	e.mu.Unlock()
	events.Epoch = e.epoch
	json.NewEncoder(w).Encode(events)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.orders
	state := engine.State{
		EngineID: e.opts.ID, Epoch: e.epoch, Role: s.role, Models: append([]engine.LoadedModel(nil), s.models...),
		Adapters: append([]string(nil), s.adapters...), Fence: s.fence, LastOrderID: s.lastOrder, Changing: s.changing,
	}
	e.mu.Unlock()
	json.NewEncoder(w).Encode(state)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var target struct {
		RequestID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	handle, found := e.kv.exports[target.RequestID]
	fail := e.faults.FailExport
	e.mu.Unlock()
	if fail || !found {
		http.Error(w, "no KV cache of request "+target.RequestID, http.StatusGone)
		return
	}
	handle.Address = r.Host
	json.NewEncoder(w).Encode(handle)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var handle engine.KVHandle
	if err := json.NewDecoder(r.Body).Decode(&handle); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	fail := e.faults.FailImport
	e.mu.Unlock()
	if fail {
		http.Error(w, "import failed", http.StatusGone)
		return
	}
	time.Sleep(time.Duration(float64(handle.Bytes) / float64(e.opts.KVBytesPerSecond) * float64(time.Second)))
	e.mu.Lock()
	e.kv.addImport(handle)
	e.mu.Unlock()
}

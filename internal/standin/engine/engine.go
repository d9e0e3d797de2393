// Package engine is a small stand-in for an LLM engine. Its answers are a function of model, version and messages, so
// that tests can tell whether an answer is whole and belongs to its request.
package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbpoint/engine"
)

// Options set the speed of the stand-in.
type Options struct {
	ID   string
	Step time.Duration // time between two tokens
}

// Engine serves the stand-in's HTTP interface.
type Engine struct {
	opts Options
}

// New returns a stand-in engine.
func New(opts Options) *Engine { return &Engine{opts: opts} }

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := json.NewEncoder(w)
	answer := Answer(&req)
	for i := len(req.Delivered); i < len(answer); i++ {
		time.Sleep(e.opts.Step)
		frame := engine.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Version: req.Version, Index: i, Token: answer[i]}
		if out.Encode(&frame) != nil {
			return
		}
		http.NewResponseController(w).Flush()
	}
	out.Encode(&engine.Frame{
		RequestID: req.RequestID, Attempt: req.Attempt, Version: req.Version,
		End: true, Total: len(answer), FinishReason: "stop",
	})
}

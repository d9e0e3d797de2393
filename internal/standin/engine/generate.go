package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbpoint/engine"
)

// keepaliveInterval is the time between keepalive frames, by whose absence clients of engines notice a silent
// connection.
const keepaliveInterval = time.Second

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := newJob(&req, e.opts.OutputTokens, connID(r))
	if !j.deliveredMatches() {
		http.Error(w, "delivered tokens are no prefix of the output", http.StatusUnprocessableEntity)
		return
	}
	out := &frameWriter{ctx: r.Context(), w: w, isSilent: func() bool { return e.isSilent(j.conn) }}
	if status := e.accept(j, out); status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.removeJob(j)
	e.streamOutput(j, out)
}

// accept queues the job, or returns the status with which the request is refused.
func (e *Engine) accept(j *job, out *frameWriter) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return http.StatusServiceUnavailable
	case e.orders.changing != "" || len(e.batch.waiting) >= e.opts.MaxWaiting:
		return http.StatusTooManyRequests
	case !e.orders.serves(j.req.Model, j.req.Version):
		return http.StatusNotFound
	}
	out.fault, out.faultIndex = e.takeFrameFault()
	e.enqueue(j)
	return http.StatusOK
}

// removeJob removes a job whose response has ended or whose caller has disconnected.
func (e *Engine) removeJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(j)
	e.recordLoad()
}

func (e *Engine) streamOutput(j *job, out *frameWriter) {
	base := engine.Frame{RequestID: j.req.RequestID, Attempt: j.req.Attempt, Version: j.req.Version}
	keepalive := base
	keepalive.Keepalive, keepalive.Epoch = true, e.epoch
	out.write(keepalive)
	sent := len(j.req.Delivered)
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-out.ctx.Done():
			return
		case <-ticker.C:
			out.write(keepalive)
		case <-j.updated:
		}
		tokens, end := e.progress(j, sent)
		for _, token := range tokens {
			frame := base
			frame.Index, frame.Token = sent, token
			out.write(frame)
			sent++
		}
		if end != nil {
			end.RequestID, end.Attempt, end.Version = base.RequestID, base.Attempt, base.Version
			out.write(*end)
			return
		}
	}
}

// progress returns the tokens that are generated but not sent, and the end frame's content once generation has ended.
func (e *Engine) progress(j *job, sent int) ([]string, *engine.Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := j.output[sent:j.generated]
	if !j.finished {
		return tokens, nil
	}
	return tokens, &engine.Frame{
		End: true, Total: j.generated, FinishReason: j.finishReason(), PromptTokens: j.prompt.Tokens, CachedTokens: j.cachedTokens,
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var target struct {
		RequestID string `json:"request_id"`
		Attempt   string `json:"attempt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range append(append([]*job(nil), e.batch.running...), e.batch.waiting...) {
		if j.req.RequestID == target.RequestID && j.req.Attempt == target.Attempt {
			e.batch.remove(j)
			j.output, j.finished = j.output[:j.generated], true
			j.signal()
		}
	}
}

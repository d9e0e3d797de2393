package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbpoint/engine"
)

// keepaliveInterval is what callers of engines rely on to notice a silent connection.
const keepaliveInterval = time.Second

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := newJob(&req, e.opts.OutputTokens, connOf(r))
	if !j.resumes() {
		http.Error(w, "delivered tokens of another answer", http.StatusUnprocessableEntity)
		return
	}
	out := &frameWriter{ctx: r.Context(), w: w, isSilent: func() bool { return e.isSilent(j.conn) }}
	if status := e.accept(j, out); status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.forget(j)
	e.answer(j, out)
}

// accept queues the job or returns the status of a refusal.
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
	out.fault, out.at = e.takeFrameFault()
	e.start(j)
	return http.StatusOK
}

// forget ends a job whose caller is gone or which was cancelled.
func (e *Engine) forget(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(j)
	e.publish()
}

func (e *Engine) answer(j *job, out *frameWriter) {
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
		case <-j.changed:
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

// progress returns the tokens that are ready but not sent, and the end frame's content once the answer is finished.
func (e *Engine) progress(j *job, sent int) ([]string, *engine.Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := j.answer[sent:j.ready]
	if !j.finished {
		return tokens, nil
	}
	return tokens, &engine.Frame{
		End: true, Total: j.ready, FinishReason: j.finishReason(), PromptTokens: j.prompt.Tokens, CachedTokens: j.cached,
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var named struct {
		RequestID string `json:"request_id"`
		Attempt   string `json:"attempt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&named); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range append(append([]*job(nil), e.batch.running...), e.batch.waiting...) {
		if j.req.RequestID == named.RequestID && j.req.Attempt == named.Attempt {
			e.batch.remove(j)
			j.answer, j.finished = j.answer[:j.ready], true
			j.signal()
		}
	}
}

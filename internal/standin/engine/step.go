package engine

import "time"

// start queues a job and runs the batch if it is at rest. The caller holds the mutex.
func (e *Engine) start(j *job) {
	e.batch.add(time.Now(), j)
	e.publish()
	if !e.batch.stepping {
		e.batch.stepping = true
		go e.run()
	}
}

// run steps the batch until it is empty.
func (e *Engine) run() {
	for {
		e.mu.Lock()
		e.admit()
		if e.batch.size() == 0 {
			e.batch.stepping = false
			e.publish()
			e.mu.Unlock()
			return
		}
		prefill, chunk, decode := e.batch.plan()
		span := e.span(chunk, len(decode))
		e.mu.Unlock()
		time.Sleep(span)
		e.mu.Lock()
		e.finishStep(prefill, chunk, decode)
		e.mu.Unlock()
	}
}

// admit moves waiting jobs into the batch while it has room.
func (e *Engine) admit() {
	for len(e.batch.waiting) > 0 && len(e.batch.running) < e.opts.MaxRunning {
		j := e.batch.waiting[0]
		e.batch.waiting = e.batch.waiting[1:]
		if e.faults.CrashMarker != "" && j.contains(e.faults.CrashMarker) {
			go e.opts.Crash()
		}
		e.batch.running = append(e.batch.running, j)
		if e.kv.take(j.req) {
			continue
		}
		j.cached = e.cache.lookup(j.prompt.PrefixHashes)
		j.prefillLeft = max(0, j.prompt.Tokens+len(j.req.Delivered)-j.cached)
	}
}

// span is the length of a step that processes a chunk of a prompt and decodes one token of each of n requests.
func (e *Engine) span(chunk, n int) time.Duration {
	span := time.Duration(float64(chunk) / e.opts.PrefillTokensPerSecond * float64(time.Second))
	if n > 0 {
		e.batch.step = e.opts.Step + time.Duration(n-1)*e.opts.StepPerRequest
		span += e.batch.step
	}
	return span
}

func (e *Engine) finishStep(prefill *job, chunk int, decode []*job) {
	if prefill != nil {
		prefill.prefillLeft -= chunk
		if prefill.prefillLeft == 0 {
			e.cache.store(time.Now(), prefill.prompt.PrefixHashes)
		}
	}
	for _, j := range decode {
		switch {
		case j.req.PrefillOnly:
			e.kv.keep(j, e.opts.KVBytesPerToken)
			j.finished = true
		case j.ready < len(j.answer):
			j.ready++
			j.finished = j.ready == len(j.answer)
		default:
			j.finished = true
		}
		if j.finished {
			e.batch.remove(j)
		}
		j.signal()
	}
	e.publish()
}

package engine

import "time"

// enqueue queues a job and starts the batch if it is idle. The caller holds the mutex.
func (e *Engine) enqueue(j *job) {
	e.batch.add(time.Now(), j)
	e.recordLoad()
	if !e.batch.stepping {
		e.batch.stepping = true
		go e.run()
	}
}

// run executes steps of the batch until it is empty.
func (e *Engine) run() {
	for {
		e.mu.Lock()
		e.admit()
		if e.batch.size() == 0 {
			e.batch.stepping = false
			e.recordLoad()
			e.mu.Unlock()
			return
		}
		prefill, chunk, decode := e.batch.plan()
		duration := e.stepDuration(chunk, len(decode))
		e.mu.Unlock()
		time.Sleep(duration)
		e.mu.Lock()
		e.finishStep(prefill, chunk, decode)
		e.mu.Unlock()
	}
}

// admit moves waiting jobs into free batch slots.
func (e *Engine) admit() {
	for len(e.batch.waiting) > 0 && len(e.batch.running) < e.opts.MaxRunning {
		j := e.batch.waiting[0]
		e.batch.waiting = e.batch.waiting[1:]
		if e.faults.CrashMarker != "" && j.contains(e.faults.CrashMarker) {
			go e.opts.Crash()
		}
		e.batch.running = append(e.batch.running, j)
		if e.kv.takeImport(j.req) {
			continue
		}
		j.cachedTokens = e.cache.lookup(j.prompt.PrefixHashes)
		j.prefillLeft = max(0, j.prompt.Tokens+len(j.req.Delivered)-j.cachedTokens)
	}
}

// stepDuration returns the duration of a step that processes a chunk of a prompt and decodes one token of each of n
// requests.
func (e *Engine) stepDuration(chunk, n int) time.Duration {
	duration := time.Duration(float64(chunk) / e.opts.PrefillTokensPerSecond * float64(time.Second))
	if n > 0 {
		e.batch.lastStep = e.opts.Step + time.Duration(n-1)*e.opts.StepPerRequest
		duration += e.batch.lastStep
	}
	return duration
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
			e.kv.addExport(j, e.opts.KVBytesPerToken)
			j.finished = true
		case j.generated < len(j.output):
			j.generated++
			j.finished = j.generated == len(j.output)
		default:
			j.finished = true
		}
		if j.finished {
			e.batch.remove(j)
		}
		j.signal()
	}
	e.recordLoad()
}

package engine

import (
	"strings"

	"rhubarbpoint/engine"
)

// job is one accepted request. Its counters are guarded by the engine's mutex.
type job struct {
	req    *engine.Request
	prompt engine.Prompt
	answer []string
	conn   int64
	// prefillLeft counts prompt tokens not yet processed, cached those that were found in the prefix cache.
	prefillLeft int
	cached      int
	// ready counts the tokens of the answer that exist, those delivered by earlier attempts included.
	ready    int
	finished bool
	// changed has room for one signal, so that the batch never waits for a writer.
	changed chan struct{}
}

func newJob(req *engine.Request, answerTokens int, conn int64) *job {
	answer := Output(req)
	if answerTokens > 0 && len(answer) > answerTokens {
		answer = answer[:answerTokens]
	}
	return &job{
		req: req, prompt: engine.NewPrompt(req.Model, req.Version, req.Messages), answer: answer, conn: conn,
		ready: len(req.Delivered), changed: make(chan struct{}, 1),
	}
}

// resumes says whether the delivered tokens belong to this job's answer.
func (j *job) resumes() bool {
	if len(j.req.Delivered) > len(j.answer) {
		return false
	}
	return strings.Join(j.req.Delivered, "") == strings.Join(j.answer[:len(j.req.Delivered)], "")
}

// contains says whether a message of the request contains the marker.
func (j *job) contains(marker string) bool {
	for _, m := range j.req.Messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}
	return false
}

func (j *job) finishReason() string {
	if len(j.answer) < j.req.MaxTokens {
		return "stop"
	}
	return "length"
}

func (j *job) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

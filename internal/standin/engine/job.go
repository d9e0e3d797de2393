package engine

import (
	"strings"

	"rhubarbpoint/engine"
)

// job is one request. The fields that change are guarded by the engine's mutex.
type job struct {
	req    *engine.Request
	prompt engine.Prompt
	output []string
	conn   int64
	// prefillLeft counts prompt tokens not yet processed, cachedTokens those that were found in the prefix cache.
	prefillLeft  int
	cachedTokens int
	// generated counts the output tokens that exist, including those that earlier attempts delivered.
	generated int
	finished  bool
	// updated has a buffer of one signal, so that the batch never waits for the goroutine that writes the response.
	updated chan struct{}
}

func newJob(req *engine.Request, outputTokens int, conn int64) *job {
	output := Output(req)
	if outputTokens > 0 && len(output) > outputTokens {
		output = output[:outputTokens]
	}
	return &job{
		req: req, prompt: engine.NewPrompt(req.Model, req.Version, req.Messages), output: output, conn: conn,
		generated: len(req.Delivered), updated: make(chan struct{}, 1),
	}
}

// deliveredMatches reports whether the tokens delivered by earlier attempts are a prefix of this job's output.
func (j *job) deliveredMatches() bool {
	if len(j.req.Delivered) > len(j.output) {
		return false
	}
	return strings.Join(j.req.Delivered, "") == strings.Join(j.output[:len(j.req.Delivered)], "")
}

// contains reports whether a message of the request contains the marker.
func (j *job) contains(marker string) bool {
	for _, m := range j.req.Messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}
	return false
}

func (j *job) finishReason() string {
	if len(j.output) < j.req.MaxTokens {
		return "stop"
	}
	return "length"
}

func (j *job) signal() {
	select {
	case j.updated <- struct{}{}:
	default:
	}
}

package simfleet

import "time"

// job is one send of a request to a replica.
type job struct {
	request *request
	// promptOnly jobs end when the prompt is processed. Other jobs with a source fetch the KV cache from there.
	promptOnly bool
	source     *replica
	deadline   time.Duration
	// accepted is called when the replica begins the answer, event for each event of it, and ended when the job is over.
	accepted func()
	event    func()
	ended    func(ending)

	begun    bool
	uncached int // prompt tokens left to process
	steps    int // steps done of the answer
}

// ending is how a replica ended a job.
type ending int

const (
	done ending = iota
	// notRun jobs were refused.
	notRun
	// broken jobs ended with their connection.
	broken
)

// pairs returns the pairs of the next tokens of the prompt with those before them.
func (j *job) pairs(tokens int) float64 {
	return float64(tokens) * (float64(j.request.prompt.Tokens-j.uncached) + float64(tokens)/2)
}

package member

import "sync"

// jobs runs goroutines until it is asked to wait for them; from then on it runs no more.
type jobs struct {
	mu      sync.Mutex
	stopped bool
	group   sync.WaitGroup
}

// run reports whether the job was started.
func (j *jobs) run(job func()) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.stopped {
		j.group.Go(job)
	}
	return !j.stopped
}

func (j *jobs) wait() {
	j.mu.Lock()
	j.stopped = true
	j.mu.Unlock()
	j.group.Wait()
}

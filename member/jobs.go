package member

import "sync"

// jobs runs functions in goroutines until wait is called; after that, it starts no more.
type jobs struct {
	mu      sync.Mutex
	stopped bool
	group   sync.WaitGroup
}

// run starts the job in a goroutine, unless wait was called, and reports whether it did.
func (j *jobs) run(job func()) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.stopped {
		j.group.Go(job)
	}
	return !j.stopped
}

// wait waits for the jobs that were started and keeps new ones from starting.
func (j *jobs) wait() {
	j.mu.Lock()
	j.stopped = true
	j.mu.Unlock()
	j.group.Wait()
}

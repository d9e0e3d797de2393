package bench

import "sync"

// pool limits the number of replays that run at a time.
type pool struct{ running chan struct{} }

func newPool(size int) *pool { return &pool{running: make(chan struct{}, max(1, size))} }

// run runs a job in a goroutine of the group, as soon as fewer jobs are running than the pool allows.
func (p *pool) run(group *sync.WaitGroup, job func()) {
	group.Go(func() {
		p.running <- struct{}{}
		defer func() { <-p.running }()
		job()
	})
}

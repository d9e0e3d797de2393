package bench

import "sync"

// pool bounds the number of replays at a time.
type pool struct{ slots chan struct{} }

func newPool(size int) *pool { return &pool{slots: make(chan struct{}, max(1, size))} }

func (p *pool) run(group *sync.WaitGroup, job func()) {
	group.Go(func() {
		p.slots <- struct{}{}
		defer func() { <-p.slots }()
		job()
	})
}

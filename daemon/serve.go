package daemon

import (
	"sync"
	"sync/atomic"
)

// listening runs listeners in the background until the instance stops.
type listening struct {
	running  sync.WaitGroup
	stopping atomic.Bool
	// failed gets an error when a listener fails. It has room for all of them.
	failed chan error
}

// maxListeners is the number of listeners of an instance.
const maxListeners = 4

func newListening() *listening { return &listening{failed: make(chan error, maxListeners)} }

// serve runs one listener. Its end is no failure once the instance stops.
func (l *listening) serve(run func() error) {
	l.running.Go(func() {
		if err := run(); err != nil && !l.stopping.Load() {
			l.failed <- err
		}
	})
}

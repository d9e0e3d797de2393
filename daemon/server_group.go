package daemon

import (
	"sync"
	"sync/atomic"
)

// serverGroup runs the servers of an instance in the background until the instance stops.
type serverGroup struct {
	running  sync.WaitGroup
	stopping atomic.Bool
	// failed gets an error when a listener fails. Its buffer holds one for each listener.
	failed chan error
}

// maxListeners is the number of listeners of an instance.
const maxListeners = 4

func newServerGroup() *serverGroup { return &serverGroup{failed: make(chan error, maxListeners)} }

// serve runs the server of one listener. Its error is ignored once the instance is stopping.
func (g *serverGroup) serve(run func() error) {
	g.running.Go(func() {
		if err := run(); err != nil && !g.stopping.Load() {
			g.failed <- err
		}
	})
}

package soak

import (
	"net"
	"sync"
)

// connTracker is a listener that keeps the connections that it has accepted. It is safe for concurrent use.
type connTracker struct {
	net.Listener

	mu   sync.Mutex
	down bool
	open []net.Conn
}

// Accept implements net.Listener. It closes connections that come while the tracker is down.
func (t *connTracker) Accept() (net.Conn, error) {
	for {
		conn, err := t.Listener.Accept()
		if err != nil || t.keep(conn) {
			return conn, err
		}
		conn.Close()
	}
}

func (t *connTracker) keep(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down {
		t.open = append(t.open, conn)
	}
	return !t.down
}

// closeAll closes all connections in order, and those that come until resume is called.
func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = true
	for _, conn := range t.open {
		conn.Close()
	}
	t.open = nil
}

func (t *connTracker) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = false
}

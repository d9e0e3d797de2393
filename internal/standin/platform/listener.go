package platform

import (
	"net"
	"sync"
)

// Listener is a net.Listener whose open connections can be made to stop carrying data while new ones work. It is safe
// for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*silentConn]bool
}

// NewListener wraps a listener.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*silentConn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// Silence makes all open connections stop carrying data, without closing them, and returns their number.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silence()
	}
	return len(l.conns)
}

// silentConn discards what is written and received once it is silent.
type silentConn struct {
	net.Conn
	listener *Listener
	once     sync.Once

	mu     sync.Mutex
	silent bool
}

func (c *silentConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *silentConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.isSilent() || err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.conns, c)
	})
	return c.Conn.Close()
}

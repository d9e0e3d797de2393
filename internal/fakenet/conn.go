package fakenet

import (
	"net"
	"sync/atomic"
)

// conn is one end of a connection. Once silent, it swallows what is written to it, and its closing is not seen by the
// other end.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	other    *conn
	silent   atomic.Bool
	closed   atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if !c.silent.Load() && c.network.faulty(c) {
		c.silence()
	}
	if c.silent.Load() {
		if c.closed.Load() {
			return 0, net.ErrClosed
		}
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if err != nil && c.silent.Load() && !c.closed.Load() {
		return len(b), nil
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.network.forget(c)
	if !c.silent.Load() {
		return c.Conn.Close()
	}
	// The pipe must stay open while the other end uses it, but this end's reads must return.
	if c.other.closed.Load() {
		c.other.Conn.Close()
		return c.Conn.Close()
	}
	return c.Conn.SetDeadline(aLongTimeAgo)
}

func (c *conn) silence() {
	c.silent.Store(true)
	c.other.silent.Store(true)
}

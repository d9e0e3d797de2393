package fakenet

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// yamuxHeaderBytes is the length of a yamux header, which yamux writes apart from the body that follows it.
const yamuxHeaderBytes = 12

// conn is one end of a connection. Once silent, it swallows what is written to it, and its closing is not seen by the
// other end. It goes silent between two yamux frames only: yamux holds a mutex while it waits for a body, and virtual
// time does not advance while a goroutine waits for a mutex.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	other    *conn
	silent   atomic.Bool
	closed   atomic.Bool
	// The fields below are used by the one goroutine that writes.
	inFrame   bool
	swallowed bool
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if !c.inFrame {
		if !c.silent.Load() && c.network.faulty(c) {
			c.silence()
		}
		c.swallowed = c.silent.Load()
	}
	c.inFrame = !c.inFrame && len(b) == yamuxHeaderBytes && b[1] == 0 && binary.BigEndian.Uint32(b[8:]) > 0
	if c.swallowed {
		if c.closed.Load() {
			return 0, net.ErrClosed
		}
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.network.forget(c)
	if !c.silent.Load() {
		return c.Conn.Close()
	}
	// The pipe must stay open while the other end uses it, but this end's reads and writes must return.
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

package fakenet

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// yamuxHeaderBytes is the length of a yamux header, which yamux writes separately from the body that follows it.
const yamuxHeaderBytes = 12

// conn is one end of a connection. Once silent, it discards what is written to it, and the other end does not notice
// when it is closed. A connection goes silent only between two yamux frames: yamux holds a mutex while it waits for a
// body, and virtual time does not advance while a goroutine waits for a mutex.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	peer     *conn
	silent   atomic.Bool
	closed   atomic.Bool
	// Only the one goroutine that writes uses the fields below. discarding applies to the current frame.
	inFrame    bool
	discarding bool
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if !c.inFrame {
		if !c.silent.Load() && c.network.shouldSilence(c) {
			c.silence()
		}
		c.discarding = c.silent.Load()
	}
	c.inFrame = !c.inFrame && len(b) == yamuxHeaderBytes && b[1] == 0 && binary.BigEndian.Uint32(b[8:]) > 0
	if c.discarding {
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
	c.network.removeConn(c)
	if !c.silent.Load() {
		return c.Conn.Close()
	}
	// The pipe must stay open while the other end uses it, but reads and writes at this end must return.
	if c.peer.closed.Load() {
		c.peer.Conn.Close()
		return c.Conn.Close()
	}
	return c.Conn.SetDeadline(aLongTimeAgo)
}

func (c *conn) silence() {
	c.silent.Store(true)
	c.peer.silent.Store(true)
}

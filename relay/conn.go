package relay

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is a connection to a replica. Only one exchange uses it at a time.
type conn struct {
	net.Conn
	addr   string
	head   headReader
	reader *bufio.Reader // reads through head
	// idleUntil is when an idle connection expires. After that the replica may be about to close it.
	idleUntil time.Time
	reused    bool
}

// newConn returns a connection to a replica that nothing was sent on.
func newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, addr: addr, head: headReader{conn: raw}}
	c.reader = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// reusable reports whether an idle connection is still open and has no unread bytes. Bytes that arrive while no
// response is outstanding belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.reusableByProbe()
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var readErr error
	err = control.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), one[:])
		return true
	})
	return err == nil && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
}

// probeTimeout bounds the read that probes a connection without a file descriptor before it is reused.
const probeTimeout = time.Millisecond

// reusableByProbe is reusable for a connection without a file descriptor. It reads, which must time out.
func (c *conn) reusableByProbe() bool { return c.silent(probeTimeout) }

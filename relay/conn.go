package relay

import (
	"bufio"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is a connection to a replica. It is used by one exchange at a time.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// idleUntil is when an idle connection is no longer used, because the replica may be about to close it.
	idleUntil time.Time
	reused    bool
}

// clean says whether an idle connection is still open and has nothing unread. Bytes that arrive while no answer is due
// belong to no request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.silent()
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

// probeTime is how long a connection without a file descriptor is listened to before it is used again.
const probeTime = time.Millisecond

// silent does what clean does for a connection without a file descriptor.
func (c *conn) silent() bool {
	c.SetReadDeadline(time.Now().Add(probeTime))
	defer c.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

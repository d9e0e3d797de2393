package relay

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// closingTime bounds the time from the end of one connection of a killed process to that of its listener. The kernel ends them
// one after another, with about 20 µs for each.
const closingTime = 100 * time.Millisecond

// Survived reports whether the process at an address is certainly still there although a response of it has ended with its
// connection. The kernel ends the connections of a killed process in order, and its listener perhaps after them: until then,
// it accepts connections, which it resets when the listener ends. So a new connection has to outlast closingTime, or
// another one has to follow it. A process that started at the address since then is taken for the earlier one. If Survived opens a
// connection that can be used, it puts it into the pool.
func (p *Pool) Survived(ctx context.Context, addr string) bool {
	c, err := p.get(ctx, addr, true)
	if err != nil {
		return false
	}
	if c.silent(closingTime) {
		p.put(c, 0)
		return true
	}
	c.Close()
	// The replica may have too many connections. A listener that has ended refuses the next one.
	c, err = p.get(ctx, addr, true)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// silent reports whether the connection neither ends nor carries bytes for a time.
func (c *conn) silent(d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

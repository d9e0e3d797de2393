package peer

import (
	"encoding/binary"
	"net"
)

// A yamux header has 12 bytes. The second byte is the type, 0 for data; the last four are the length of the body.
const (
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0
)

// countingConn counts the bytes of a connection. It also joins the header and the body of a data frame, which yamux
// writes separately from one goroutine, so that they are sent in one packet.
type countingConn struct {
	net.Conn
	stats         *stats
	pendingHeader []byte // a data header whose body comes with the next write
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.bytesIn.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		frame := append(c.pendingHeader, b...)
		n, err := c.write(frame)
		c.pendingHeader = nil
		return max(n-yamuxHeaderBytes, 0), err
	}
	if len(b) == yamuxHeaderBytes && b[1] == yamuxTypeData && binary.BigEndian.Uint32(b[8:]) > 0 {
		c.pendingHeader = append(make([]byte, 0, 512), b...)
		return len(b), nil
	}
	return c.write(b)
}

func (c *countingConn) write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.bytesOut.Inc(int64(n))
	c.stats.packetsOut.Inc(1)
	return n, err
}

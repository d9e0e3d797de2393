package peer

import "net"

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	stats *stats
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.bytesIn.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.bytesOut.Inc(int64(n))
	c.stats.packetsOut.Inc(1)
	return n, err
}

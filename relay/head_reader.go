package relay

import (
	"net"

	"github.com/cockroachdb/errors"
)

// errHeadTooLarge is the read error of a response head that exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("relay: response head too large")

// headReader reads from a connection. While it reads a response head, it returns at most maxHeadBytes.
type headReader struct {
	conn    net.Conn
	limited bool
	left    int
}

// limit bounds the reads from now on; the bound covers all heads until unlimit.
func (r *headReader) limit() { r.limited, r.left = true, maxHeadBytes }

// unlimit removes the bound.
func (r *headReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

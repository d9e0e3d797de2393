package relay

import (
	"net"

	"github.com/cockroachdb/errors"
)

// errHeadTooLarge is the read error of a response head that exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("relay: response head too large")

// oldVersion is how the first head of a replica begins that speaks HTTP/1.0.
const oldVersion = "HTTP/1.0"

// headReader reads from a connection. While it reads a response head, it returns at most maxHeadBytes. A first head in
// HTTP/1.0 is read as HTTP/1.1, in which net/http checks a Transfer-Encoding and does not ignore it.
type headReader struct {
	conn    net.Conn
	limited bool
	left    int
	// matched is the number of bytes read so far that equal those of oldVersion, or -1 after another byte or the last one.
	matched int
	// old is set if the first head is in HTTP/1.0.
	old bool
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
	r.match(p[:n])
	return n, err
}

// match compares the first bytes of the connection with oldVersion and changes its last byte.
func (r *headReader) match(p []byte) {
	for i := 0; i < len(p) && r.matched >= 0; i++ {
		switch {
		case p[i] != oldVersion[r.matched]:
			r.matched = -1
		case r.matched == len(oldVersion)-1:
			r.matched, r.old, p[i] = -1, true, '1'
		default:
			r.matched++
		}
	}
}

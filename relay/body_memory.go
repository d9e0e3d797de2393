package relay

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// freeBufferBytes is what each exchange may buffer without a share of the pool's memory.
	freeBufferBytes = 32 << 10
	// maxBufferedBytes bounds what the exchanges of a pool buffer beyond that. One body of the largest size fits.
	maxBufferedBytes = maxBodyBytes
)

// errNoBufferMemory means that other exchanges use the memory for responses.
var errNoBufferMemory = errors.New("relay: no memory left to buffer the response")

// bodyMemory is the share of a pool's memory that one exchange has. It is not safe for concurrent use.
type bodyMemory struct {
	pool *semaphore.Weighted
	held int
	// hold is Attempt.Hold.
	hold func(int) error
}

// grow makes room for a buffer of size bytes in all. It does not wait: memory is free again only when other responses
// end, and a replica whose response does not end would delay all other requests.
func (m *bodyMemory) grow(size int) error {
	more := size - freeBufferBytes - m.held
	if more <= 0 {
		return nil
	}
	if !m.pool.TryAcquire(int64(more)) {
		return errors.Wrapf(errNoBufferMemory, "%d bytes", size)
	}
	m.held += more
	if m.hold != nil {
		return m.hold(m.held)
	}
	return nil
}

// release gives the memory back.
func (m *bodyMemory) release() {
	m.pool.Release(int64(m.held))
	if m.hold != nil && m.held > 0 {
		_ = m.hold(0) // giving bytes back does not fail
	}
	m.held = 0
}

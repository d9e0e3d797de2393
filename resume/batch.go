package resume

import (
	"context"
	"sync"
	"time"
)

// failurePause is the time after a failed call to the store in which the next ones fail without being made. A store that does not
// answer counts the calls too.
const failurePause = 100 * time.Millisecond

// batch makes one call for all that wait for it. A call serves only those that asked before it began, unlike one of
// singleflight. It is safe for concurrent use.
type batch[T any] struct {
	// call gets a context of its own, as several wait for it.
	call    func(context.Context) (T, error)
	timeout time.Duration
	// pause is the time after a failed call in which the next ones fail without being made.
	pause time.Duration

	// notBefore is the end of the pause after a call that has failed. Both belong to run, of which there is one at a time.
	notBefore time.Time
	failed    error

	mu sync.Mutex
	// running is the call in flight, next the one after it; nil if there is none.
	running, next *batchCall[T]
}

// batchCall is one call. Its result may be read after done has been closed.
type batchCall[T any] struct {
	done   chan struct{}
	result T
	err    error
}

// do returns the result of a call that begins after do was called, or the error of the context.
func (b *batch[T]) do(ctx context.Context) (T, error) {
	c := b.join()
	select {
	case <-c.done:
		return c.result, c.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func (b *batch[T]) join() *batchCall[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running == nil {
		b.running = &batchCall[T]{done: make(chan struct{})}
		go b.run(b.running)
		return b.running
	}
	if b.next == nil {
		b.next = &batchCall[T]{done: make(chan struct{})}
	}
	return b.next
}

func (b *batch[T]) run(c *batchCall[T]) {
	for c != nil {
		if time.Now().Before(b.notBefore) {
			c.err = b.failed
		} else {
			b.callFor(c)
		}
		close(c.done)
		b.mu.Lock()
		b.running, b.next = b.next, nil
		c = b.running
		b.mu.Unlock()
	}
}

func (b *batch[T]) callFor(c *batchCall[T]) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	if c.result, c.err = b.call(ctx); c.err != nil {
		b.notBefore, b.failed = time.Now().Add(b.pause), c.err
	}
}

package claim

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

const (
	// writesPerSecond limits the writes of a partition by its writer, and, in total, the store calls of one instance for
	// the partitions that others write. The store's budget for claims is 32 × 5 writes/s.
	writesPerSecond = 5
	// writeBurst lets the claim and the outcome of a single order pass without delay.
	writeBurst = 2
	// storeTimeout bounds one store call.
	storeTimeout = 2 * time.Second
	// cachedSlots bounds the number of decoded slots in memory; at 1,000 orders/s a slot has about 1,900 records.
	cachedSlots = 64

	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

var errStopped = errors.New("claim: stopped")

// committer writes records into slots and batches the records of one slot into one compare-and-swap. It is safe for
// concurrent use.
type committer struct {
	ctx    context.Context
	store  topo.Store
	logger *slog.Logger
	stats  *stats
	// isWriter reports whether this instance is the partition's writer. Store calls for all other partitions share
	// directLimiter.
	isWriter      func(partition int) bool
	directLimiter *rate.Limiter

	partitions [partitionCount]*partition
	cache      *lru.Cache[string, *slot]
	// stored holds the last slots that this instance has written, as the store acknowledged them. A store that was restored
	// from an older copy may have lost their records.
	stored *lru.Cache[string, topo.Entry]

	mu      sync.Mutex // guards closed and the start of workers
	closed  bool
	workers sync.WaitGroup
}

func newCommitter(ctx context.Context, opts *Options, stats *stats, isWriter func(int) bool) *committer {
	cache, err := lru.New[string, *slot](cachedSlots)
	if err != nil {
		panic(err) // returned only for a size below one
	}
	stored, err := lru.New[string, topo.Entry](cachedSlots)
	if err != nil {
		panic(err)
	}
	c := &committer{
		ctx: ctx, store: opts.Store, logger: opts.Logger, stats: stats, isWriter: isWriter, cache: cache, stored: stored,
		directLimiter: rate.NewLimiter(writesPerSecond, writeBurst),
	}
	for i := range c.partitions {
		c.partitions[i] = newPartition(i)
	}
	return c
}

// submit queues a record, waits for its write, and returns the key's current record. It returns errExpired,
// topo.ErrTooLarge, errStopped, an encoding error or the context's error. After any error but errExpired the record may
// be in the store or may still be written.
func (c *committer) submit(ctx context.Context, id key, record *peerpb.ClaimRecord) (*peerpb.ClaimRecord, error) {
	o := newOp(ctx, id, record)
	if !c.enqueue(c.partitions[id.partition()], o) {
		return nil, errStopped
	}
	select {
	case r := <-o.result:
		return r.current, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// enqueue queues an operation and starts the partition's goroutine if it is not running. It returns false if the
// committer is closed.
func (c *committer) enqueue(p *partition, o *op) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if p.enqueue(o) {
		c.workers.Go(func() { c.run(p) })
	}
	return true
}

// close refuses further operations and waits until all goroutines have ended. The committer's context must have ended.
func (c *committer) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.workers.Wait()
}

// run commits the queued operations of a partition until there are none.
func (c *committer) run(p *partition) {
	for {
		slotNumber, ops, more := p.next()
		if !more {
			return
		}
		c.commit(p, slotNumber, ops)
	}
}

// commit applies operations to a slot until each is finished or abandoned by its submitter. A write whose response is
// lost is followed by a read. If a record is absent then, the delayed write may still take effect, but only while the
// slot has the revision that it expects. The records are therefore written again at the revision just read, until a
// write succeeds or the revision has changed; either makes the delayed write fail for good.
func (c *committer) commit(p *partition, slotNumber int64, ops []*op) {
	name := slotKey(p.number, slotNumber)
	for failures := 0; ; failures++ {
		if failures > 0 && !c.backoff(failures) {
			failAll(ops, errStopped)
			return
		}
		if ops = dropAbandoned(append(ops, p.take(slotNumber)...)); len(ops) == 0 {
			return
		}
		s, err := c.load(p, name)
		if err != nil {
			c.logFailure("read", name, err)
			continue
		}
		if ops = finishNoOps(s, ops); len(ops) == 0 {
			return
		}
		if c.limiter(p).Wait(c.ctx) != nil {
			failAll(ops, errStopped)
			return
		}
		ops = dropAbandoned(append(ops, p.take(slotNumber)...))
		if len(ops) == 0 || c.write(name, s, ops) {
			return
		}
	}
}

// limiter returns the rate limiter for writes to a partition.
func (c *committer) limiter(p *partition) *rate.Limiter {
	if c.isWriter(p.number) {
		return p.limiter
	}
	return c.directLimiter
}

// load returns a slot from the cache or the store.
func (c *committer) load(p *partition, name string) (*slot, error) {
	if s, ok := c.cache.Get(name); ok {
		return s, nil
	}
	if !c.isWriter(p.number) {
		if err := c.directLimiter.Wait(c.ctx); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	c.stats.reads.Inc(1)
	entry, err := c.store.Get(ctx, name)
	s := newSlot()
	switch {
	case errors.Is(err, topo.ErrNotFound):
	case err != nil:
		return nil, err
	default:
		if s, err = decodeSlot(entry); err != nil {
			return nil, err
		}
	}
	if err := c.addLost(name, s); err != nil {
		return nil, err
	}
	if s.revision != 0 {
		c.cache.Add(name, s)
	}
	return s, nil
}

// addLost adds the records that this instance has written and that a restored store has lost. They are in the store again
// after the next write of the slot.
func (c *committer) addLost(name string, s *slot) error {
	written, found := c.stored.Get(name)
	if !found || s.revision != 0 && topo.Era(s.revision) <= topo.Era(written.Revision) {
		return nil
	}
	known, err := decodeSlot(written)
	if err != nil {
		return err
	}
	s.merge(known)
	return nil
}

// write applies the operations to the slot and writes the slot to the store. It returns false if the operations have to
// be retried. The slot must not be used after a failure, since it holds records that may not be in the store.
func (c *committer) write(name string, s *slot, ops []*op) bool {
	c.cache.Remove(name)
	results := applyAll(s, ops)
	value, err := s.encode()
	if err != nil {
		failAll(ops, err)
		return true
	}
	if len(value) > topo.MaxValueBytes {
		failAll(ops, topo.ErrTooLarge)
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	c.stats.writes.Inc(1)
	c.stats.batchRecords.Update(int64(len(ops)))
	c.stats.slotBytes.Update(int64(len(value)))
	c.stats.writtenBytes.Inc(int64(len(value)))
	revision, err := c.store.Put(ctx, name, value, s.revision, 0)
	if err != nil {
		c.handleWriteError(name, err)
		return false
	}
	s.revision = revision
	c.cache.Add(name, s)
	c.stored.Add(name, topo.Entry{Key: name, Value: value, Revision: revision})
	for i, o := range ops {
		o.finish(results[i].current, results[i].err)
	}
	return true
}

// applyAll applies the operations to the slot, those of later minutes first, since they remove the records of earlier
// minutes. It sorts ops in that order.
func applyAll(s *slot, ops []*op) []opResult {
	slices.SortStableFunc(ops, func(a, b *op) int { return int(b.minute - a.minute) })
	results := make([]opResult, len(ops))
	for i, o := range ops {
		results[i].current, results[i].err = s.apply(o.minute, o.record)
	}
	return results
}

// finishNoOps finishes the operations that need no write and returns the remaining ones.
func finishNoOps(s *slot, ops []*op) []*op {
	return slices.DeleteFunc(ops, func(o *op) bool {
		if !s.isNoOp(o.minute, o.record) {
			return false
		}
		o.finish(s.apply(o.minute, o.record))
		return true
	})
}

// dropAbandoned returns the operations whose contexts have not ended.
func dropAbandoned(ops []*op) []*op {
	return slices.DeleteFunc(ops, func(o *op) bool { return o.ctx.Err() != nil })
}

// failAll finishes the operations with an error.
func failAll(ops []*op, err error) {
	for _, o := range ops {
		o.finish(nil, err)
	}
}

// handleWriteError counts a failed write by its kind and logs it, unless it is a conflict.
func (c *committer) handleWriteError(name string, err error) {
	switch {
	case errors.Is(err, topo.ErrConflict):
		c.stats.conflicts.Inc(1)
		return
	case errors.Is(err, topo.ErrUnavailable), errors.Is(err, topo.ErrRateLimited):
		c.stats.refusals.Inc(1)
	default:
		c.stats.ambiguous.Inc(1)
	}
	c.logFailure("write", name, err)
}

func (c *committer) logFailure(call, name string, err error) {
	eventStoreFailed.Log(c.ctx, c.logger, slog.String("call", call), slog.String("slot", name), slog.Any("error", err))
}

// backoff waits before the next attempt, exponentially longer with each failure and with jitter. It returns false if
// the committer was stopped.
func (c *committer) backoff(failures int) bool {
	wait := min(minBackoff<<min(failures-1, 10), maxBackoff)
	select {
	case <-time.After(wait/2 + rand.N(wait/2)):
		return true
	case <-c.ctx.Done():
		return false
	}
}

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
	// writesPerSecond limits the writes to one partition, and the direct store calls of one instance in total. The
	// store's budget for claims is 32 × 5 writes/s.
	writesPerSecond = 5
	// writeBurst lets the claim and the outcome of a lone order pass without a wait.
	writeBurst = 2
	// storeTimeout bounds one store call.
	storeTimeout = 2 * time.Second
	// cachedSlots bounds the decoded slots in memory; at 1,000 orders/s a slot has about 1,900 records.
	cachedSlots = 64

	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

var errStopped = errors.New("claim: stopped")

// committer writes records into slots, many in one compare-and-swap. It is safe for concurrent use.
type committer struct {
	ctx    context.Context
	store  topo.Store
	logger *slog.Logger
	stats  *stats
	// isWriter says whether this instance is the partition's writer. Other instances' writes are limited in total.
	isWriter func(partition int) bool
	direct   *rate.Limiter

	partitions [partitions]*partition
	cache      *lru.Cache[string, *slot]

	mu      sync.Mutex // guards closed and the start of goroutines
	closed  bool
	running sync.WaitGroup
}

func newCommitter(ctx context.Context, opts *Options, stats *stats, isWriter func(int) bool) *committer {
	cache, err := lru.New[string, *slot](cachedSlots)
	if err != nil {
		panic(err) // only for a size below one
	}
	c := &committer{
		ctx: ctx, store: opts.Store, logger: opts.Logger, stats: stats, isWriter: isWriter, cache: cache,
		direct: rate.NewLimiter(writesPerSecond, writeBurst),
	}
	for i := range c.partitions {
		c.partitions[i] = newPartition(i)
	}
	return c
}

// submit queues a record and returns the one that stands for its key, errExpired, topo.ErrTooLarge, or the context's
// error. After any error but errExpired the record may stand in the store now or later.
func (c *committer) submit(ctx context.Context, id key, record *peerpb.ClaimRecord) (*peerpb.ClaimRecord, error) {
	o := newOp(ctx, id, record)
	if !c.start(c.partitions[id.partition()], o) {
		return nil, errStopped
	}
	select {
	case r := <-o.result:
		return r.standing, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *committer) start(p *partition, o *op) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if p.push(o) {
		c.running.Go(func() { c.run(p) })
	}
	return true
}

// close waits until no goroutine is left. The committer's context must have ended.
func (c *committer) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
}

func (c *committer) run(p *partition) {
	for {
		number, ops, more := p.next()
		if !more {
			return
		}
		c.commit(p, number, ops)
	}
}

// commit writes records until each is settled or given up by its sender. A write whose answer is lost is followed by
// a read. A record that is absent then may still arrive with the delayed write, which holds only while the slot has the
// revision that the write expected; so the records are written again at that revision until a write succeeds or the
// revision has moved, which makes the delayed write fail for good.
func (c *committer) commit(p *partition, number int64, ops []*op) {
	name := slotKey(p.number, number)
	for failures := 0; ; failures++ {
		if failures > 0 && !c.backoff(failures) {
			fail(ops, errStopped)
			return
		}
		if ops = waitedFor(append(ops, p.take(number)...)); len(ops) == 0 {
			return
		}
		s, err := c.load(p, name)
		if err != nil {
			c.logFailure("read", name, err)
			continue
		}
		if ops = answerSettled(s, ops); len(ops) == 0 {
			return
		}
		if c.limiter(p).Wait(c.ctx) != nil {
			fail(ops, errStopped)
			return
		}
		ops = waitedFor(append(ops, p.take(number)...))
		if len(ops) == 0 || c.write(name, s, ops) {
			return
		}
	}
}

// limiter returns the limit that applies to a partition.
func (c *committer) limiter(p *partition) *rate.Limiter {
	if c.isWriter(p.number) {
		return p.limiter
	}
	return c.direct
}

func (c *committer) load(p *partition, name string) (*slot, error) {
	if s, ok := c.cache.Get(name); ok {
		return s, nil
	}
	if !c.isWriter(p.number) {
		if err := c.direct.Wait(c.ctx); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	c.stats.reads.Inc(1)
	entry, err := c.store.Get(ctx, name)
	if errors.Is(err, topo.ErrNotFound) {
		return newSlot(), nil
	}
	if err != nil {
		return nil, err
	}
	s, err := decodeSlot(entry)
	if err != nil {
		return nil, err
	}
	c.cache.Add(name, s)
	return s, nil
}

// write applies the records to the slot and writes it. It returns false when the records have to be tried again. The
// slot is used no more after a failure.
func (c *committer) write(name string, s *slot, ops []*op) bool {
	c.cache.Remove(name)
	results := applyAll(s, ops)
	value, err := s.encode()
	if err != nil {
		fail(ops, err)
		return true
	}
	if len(value) > topo.MaxValueBytes {
		fail(ops, topo.ErrTooLarge)
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	c.stats.writes.Inc(1)
	c.stats.batch.Update(int64(len(ops)))
	c.stats.bytes.Update(int64(len(value)))
	c.stats.written.Inc(int64(len(value)))
	revision, err := c.store.Put(ctx, name, value, s.revision, 0)
	if err != nil {
		c.countFailure(name, err)
		return false
	}
	s.revision = revision
	c.cache.Add(name, s)
	for i, o := range ops {
		o.finish(results[i].standing, results[i].err)
	}
	return true
}

// applyAll applies newer minutes first, since they replace the records of older ones.
func applyAll(s *slot, ops []*op) []opResult {
	slices.SortStableFunc(ops, func(a, b *op) int { return int(b.minute - a.minute) })
	results := make([]opResult, len(ops))
	for i, o := range ops {
		results[i].standing, results[i].err = s.apply(o.minute, o.record)
	}
	return results
}

// answerSettled answers the records that need no write and returns the others.
func answerSettled(s *slot, ops []*op) []*op {
	return slices.DeleteFunc(ops, func(o *op) bool {
		if !s.settled(o.minute, o.record) {
			return false
		}
		o.finish(s.apply(o.minute, o.record))
		return true
	})
}

// waitedFor drops the records whose senders have given up.
func waitedFor(ops []*op) []*op {
	return slices.DeleteFunc(ops, func(o *op) bool { return o.ctx.Err() != nil })
}

func fail(ops []*op, err error) {
	for _, o := range ops {
		o.finish(nil, err)
	}
}

func (c *committer) countFailure(name string, err error) {
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

// backoff waits before another attempt, with jitter. It returns false when the committer was stopped.
func (c *committer) backoff(failures int) bool {
	wait := min(minBackoff<<min(failures-1, 10), maxBackoff)
	select {
	case <-time.After(wait/2 + rand.N(wait/2)):
		return true
	case <-c.ctx.Done():
		return false
	}
}

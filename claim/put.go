package claim

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

const (
	// writerStoreTimeout is how long a writer tries to store a peer's record before it responds that the store is
	// unavailable.
	writerStoreTimeout = 2 * time.Second
	// writerTimeout bounds a peer call to the writer.
	writerTimeout = 3 * time.Second
	// maxWriterRefusals is how often in a row the writer may respond with an error before this instance writes the record
	// to the store directly. The writer alone may be cut off from the store; but if the store is down for all, direct
	// calls only add load.
	maxWriterRefusals = 2
	// directTimeout bounds a direct write to the store, after which the writer is called again.
	directTimeout = 5 * time.Second
)

// Error codes of HandleClaim and HandleAwaitOutcome.
const (
	codeExpired     = "expired"
	codeSlotFull    = "slot_full"
	codeUnavailable = "unavailable"
	codeBadRecord   = "bad_record"
	codeStopping    = "stopping"
)

// writer returns the ID of the live instance that writes a partition, chosen by rendezvous hashing.
func (c *Claimer) writer(partition int) string {
	best, bestScore := c.opts.View.Self(), uint64(0)
	for _, m := range c.opts.View.Live() {
		if m.GetLeaving() {
			continue
		}
		score := xxhash.Sum64(append([]byte(m.GetId()), '/', byte(partition)))
		if score > bestScore {
			best, bestScore = m.GetId(), score
		}
	}
	return best
}

// putRecord puts a record into its slot, through the partition's writer or directly, and returns the key's current
// record. It retries until the context ends; putting a record is idempotent. It returns errExpired, topo.ErrTooLarge,
// or an error after which the record may be in the store or may still be written.
func (c *Claimer) putRecord(ctx context.Context, id key, record *peerpb.ClaimRecord) (*peerpb.ClaimRecord, error) {
	for refusals := 0; ; {
		writer := c.writer(id.partition())
		if writer == c.opts.View.Self() {
			return c.committer.submit(ctx, id, record)
		}
		current, err := c.tryPut(ctx, writer, id, record, refusals >= maxWriterRefusals)
		var remote *peer.RemoteError
		if refusals++; !errors.As(err, &remote) {
			refusals = 0
		}
		if err == nil || errors.Is(err, errExpired) || errors.Is(err, topo.ErrTooLarge) {
			return current, err
		}
		if !sleep.For(ctx, minBackoff/2+rand.N(minBackoff)) {
			return nil, ctx.Err()
		}
		if c.ctx.Err() != nil {
			return nil, errStopped
		}
	}
}

// tryPut makes one attempt to put a record: through the writer, or directly if direct is set or the writer is
// unreachable.
func (c *Claimer) tryPut(ctx context.Context, writer string, id key, record *peerpb.ClaimRecord, direct bool) (*peerpb.ClaimRecord, error) {
	if !direct && !c.unreachable.has(writer) {
		current, err := c.callWriter(ctx, writer, record)
		var remote *peer.RemoteError
		if err == nil || ctx.Err() != nil || errors.As(err, &remote) && remote.Code != codeStopping {
			return current, markRemoteError(err, remote)
		}
		c.unreachable.add(writer)
		eventWriterUnreachable.Log(ctx, c.opts.Logger, slog.String("writer", writer), slog.Any("error", err))
	}
	c.stats.direct.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return c.committer.submit(ctx, id, record)
}

func (c *Claimer) callWriter(ctx context.Context, writer string, record *peerpb.ClaimRecord) (*peerpb.ClaimRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	resp, err := c.call(ctx, writer, &peerpb.Request{
		Call: &peerpb.Request_Claim{Claim: &peerpb.Claim{Record: record}},
	})
	if err != nil {
		return nil, err
	}
	current := resp.GetClaim().GetRecord()
	if current == nil {
		return nil, errors.Wrap(peer.ErrNoResponse, "claim: response without a record")
	}
	return current, nil
}

// call makes a peer call and turns an Error in the response into a *peer.RemoteError.
func (c *Claimer) call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	req.From = c.opts.View.Self()
	resp, err := c.opts.Peers.Call(ctx, instance, req)
	if err != nil {
		return nil, err
	}
	if failure := resp.GetError(); failure != nil {
		return nil, &peer.RemoteError{Code: failure.GetCode(), Message: failure.GetMessage()}
	}
	return resp, nil
}

// markRemoteError marks the error of a peer call with the error that its code stands for.
func markRemoteError(err error, remote *peer.RemoteError) error {
	if remote == nil {
		return err
	}
	switch remote.Code {
	case codeExpired:
		return errors.Mark(err, errExpired)
	case codeSlotFull:
		return errors.Mark(err, topo.ErrTooLarge)
	}
	return err
}

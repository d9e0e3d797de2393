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
	// writerWait is how long a writer tries to place a record before it answers that the store is unavailable.
	writerWait = 2 * time.Second
	// writerTimeout bounds a call to the writer.
	writerTimeout = 3 * time.Second
	// writerRefusals is how often a writer may answer that the store is unavailable before a record is tried directly: the
	// writer may be cut off from the store alone, but in an outage direct calls would only add load.
	writerRefusals = 2
	// directTime is how long a record is tried at the store directly before the writer is asked again.
	directTime = 5 * time.Second
)

// Codes of peer errors.
const (
	codeExpired     = "expired"
	codeSlotFull    = "slot_full"
	codeUnavailable = "unavailable"
	codeBadRecord   = "bad_record"
	codeStopping    = "stopping"
)

// writer returns the live instance that writes a partition, by rendezvous hash.
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

// place puts a record into its slot, by way of the partition's writer or directly, and returns the record that stands
// for the key. It tries until the context ends. The same record may be placed more than once, which changes nothing. It
// returns errExpired, topo.ErrTooLarge, or an error after which the record may stand in the store now or later.
func (c *Claimer) place(ctx context.Context, id key, record *peerpb.ClaimRecord) (*peerpb.ClaimRecord, error) {
	for refusals := 0; ; {
		writer := c.writer(id.partition())
		if writer == c.opts.View.Self() {
			return c.committer.submit(ctx, id, record)
		}
		standing, err := c.placeThrough(ctx, writer, id, record, refusals >= writerRefusals)
		var remote *peer.RemoteError
		if refusals++; !errors.As(err, &remote) {
			refusals = 0
		}
		if err == nil || errors.Is(err, errExpired) || errors.Is(err, topo.ErrTooLarge) {
			return standing, err
		}
		if !sleep.For(ctx, minBackoff/2+rand.N(minBackoff)) {
			return nil, ctx.Err()
		}
		if c.ctx.Err() != nil {
			return nil, errStopped
		}
	}
}

func (c *Claimer) placeThrough(ctx context.Context, writer string, id key, record *peerpb.ClaimRecord, direct bool) (*peerpb.ClaimRecord, error) {
	if !direct && !c.avoided.has(writer) {
		standing, err := c.callWriter(ctx, writer, record)
		var remote *peer.RemoteError
		if err == nil || ctx.Err() != nil || errors.As(err, &remote) && remote.Code != codeStopping {
			return standing, remoteError(err, remote)
		}
		c.avoided.add(writer)
		eventWriterUnreachable.Log(ctx, c.opts.Logger, slog.String("writer", writer), slog.Any("error", err))
	}
	c.stats.direct.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, directTime)
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
	standing := resp.GetClaim().GetRecord()
	if standing == nil {
		return nil, errors.Wrap(peer.ErrNoAnswer, "claim: answer without a record")
	}
	return standing, nil
}

// call makes a peer call and turns an error message into a *peer.RemoteError.
func (c *Claimer) call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error) {
	req.From = c.opts.View.Self()
	resp, err := c.opts.Peers.Call(ctx, instance, req)
	if err != nil {
		return nil, err
	}
	if message := resp.GetError(); message != nil {
		return nil, &peer.RemoteError{Code: message.GetCode(), Message: message.GetMessage()}
	}
	return resp, nil
}

func remoteError(err error, remote *peer.RemoteError) error {
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

package entry

import (
	"context"
	"maps"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/hedge"
	"rhubarbpoint/place"
)

// raceAttempt is one of up to two attempts of a request that run at the same time. It has its own copy of the exchange,
// which only its goroutine uses until done delivers the result.
type raceAttempt struct {
	exchange  *routedExchange
	placement place.Placement
	sent      time.Time
	// took is set before done delivers.
	took time.Duration
	// factor is that of the replica when the attempt was sent.
	factor float64
	cancel context.CancelCauseFunc
	done   chan error
}

// fork returns a copy of the exchange for a concurrent attempt.
func (x *routedExchange) fork() *routedExchange {
	child, call := *x, *x.call
	// The request drops its body when it has a response, while the other attempt may still end.
	child.call = &call
	child.tried, child.refused = maps.Clone(x.tried), maps.Clone(x.refused)
	// The response of an earlier attempt stays with the request, and with it what is held for that response.
	child.response, child.responseHeld, child.status = nil, 0, 0
	return &child
}

// startRace begins an attempt in a goroutine. An attempt that is cancelled ends by itself, also after its request.
func startRace(ctx context.Context, exchange *routedExchange, p place.Placement) *raceAttempt {
	a := &raceAttempt{exchange: exchange, placement: p, sent: time.Now(), done: make(chan error, 1)}
	a.factor = exchange.routing.Hedging.factor(a.sent, p.Replica)
	ctx, a.cancel = context.WithCancelCause(ctx)
	exchange.server.backgroundTasks.Go(func() {
		err := a.run(ctx)
		a.took = time.Since(a.sent)
		a.done <- err
	})
	return a
}

// run makes the attempt. A panic becomes an error, because net/http recovers only those of the request's own goroutine.
func (a *raceAttempt) run(ctx context.Context) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = errors.Newf("entry: attempt panicked: %v\n%s", value, debug.Stack())
			a.exchange.logAttempt(ctx, a.placement.Replica, err)
		}
	}()
	return a.exchange.Attempt(ctx, a.placement)
}

// outlook returns what is known of the replica now.
func (a *raceAttempt) outlook(now time.Time) hedge.Outlook {
	factor := a.exchange.routing.Hedging.factor(now, a.placement.Replica)
	return hedge.Outlook{Wait: a.placement.Wait, Factor: factor, PastFactor: (a.factor + factor) / 2}
}

// merge takes the results of an attempt that has ended into the exchange of the request.
func (x *routedExchange) merge(a *raceAttempt) {
	child := a.exchange
	x.status, x.lastPlacement = child.status, child.lastPlacement
	if child.response != nil {
		x.holding.Add(-x.responseHeld)
		x.response, x.responseHeld = child.response, child.responseHeld
	}
	for incarnation := range child.tried {
		x.tried = addIncarnation(x.tried, incarnation)
	}
	for incarnation := range child.refused {
		x.refused = addIncarnation(x.refused, incarnation)
	}
}

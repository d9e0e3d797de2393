package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/claim"
	"rhubarbpoint/config"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// exchange is one call to a plain service. It implements pipeline.Exchange and is for one goroutine.
type exchange struct {
	server  *Server
	service *config.Service
	call    *relay.Call
	// replicas are tried in this order, from the beginning again after the last.
	replicas []config.Upstream
	next     int
	// fresh forbids connections that were used before.
	fresh bool
	// answer is the last whole answer.
	answer *claim.Response
}

// Place implements pipeline.Exchange.
func (e *exchange) Place(context.Context) (config.Upstream, error) {
	if len(e.replicas) == 0 {
		return config.Upstream{}, errors.Mark(errors.New("entry: the service has no replicas"), pipeline.ErrNoUpstream)
	}
	replica := e.replicas[e.next%len(e.replicas)]
	e.next++
	return replica, nil
}

// Attempt implements pipeline.Exchange.
func (e *exchange) Attempt(ctx context.Context, replica config.Upstream) error {
	answer, err := e.send(ctx, replica)
	if err == nil {
		e.answer = answer
		err = judgeStatus(answer.Status)
	}
	e.judge(ctx, replica, err)
	return mark(err)
}

// send makes the call to one replica and returns the whole answer. It follows no redirects.
func (e *exchange) send(ctx context.Context, replica config.Upstream) (*claim.Response, error) {
	timeout := orDefault(e.service.Timeout.D(), defaultServiceTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	leg := &relay.Attempt{Replica: &upstream.Replica{ID: replica.ID, Address: replica.Address}, Deadline: time.Now().Add(timeout), LastEventID: -1}
	ex, err := relay.Send(ctx, e.server.pool, serviceDialect{}, e.call, leg, e.fresh)
	if err != nil {
		return nil, err
	}
	defer ex.Close()
	if !ex.Delimited() {
		return nil, errors.Mark(errors.New("entry: answer without length, which can be cut off unnoticed"), relay.ErrIncompleteResponse)
	}
	body, err := ex.ReadBody()
	if err != nil {
		return nil, err
	}
	return &claim.Response{Status: ex.Status(), ContentType: ex.Header().Get("Content-Type"), Body: body}, nil
}

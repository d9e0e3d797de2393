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

// serviceExchange is one call to a plain service. It implements pipeline.Exchange and is for one goroutine.
type serviceExchange struct {
	server  *Server
	service *config.Service
	call    *relay.Call
	// replicas are tried in this order, from the beginning again after the last.
	replicas []config.Upstream
	next     int
	// newConnection forbids connections that were used before.
	newConnection bool
	// response is the last whole answer.
	response *claim.Answer
}

// Place implements pipeline.Exchange.
func (e *serviceExchange) Place(context.Context) (config.Upstream, error) {
	if len(e.replicas) == 0 {
		return config.Upstream{}, errors.Mark(errors.New("entry: the service has no replicas"), pipeline.ErrNoUpstream)
	}
	replica := e.replicas[e.next%len(e.replicas)]
	e.next++
	return replica, nil
}

// Attempt implements pipeline.Exchange.
func (e *serviceExchange) Attempt(ctx context.Context, replica config.Upstream) error {
	answer, err := e.send(ctx, replica)
	if err == nil {
		e.response = answer
		err = checkStatus(answer.Status)
	}
	e.recordHealth(ctx, replica, err)
	return mark(err)
}

// send makes the call to one replica and returns the whole answer. It follows no redirects.
func (e *serviceExchange) send(ctx context.Context, replica config.Upstream) (*claim.Answer, error) {
	timeout := orDefault(e.service.Timeout.D(), defaultServiceTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	leg := &relay.Leg{Replica: &upstream.Replica{ID: replica.ID, Address: replica.Address}, Deadline: time.Now().Add(timeout), After: -1}
	ex, err := relay.Send(ctx, e.server.pool, serviceDialect{}, e.call, leg, e.newConnection)
	if err != nil {
		return nil, err
	}
	defer ex.Close()
	if !ex.Delimited() {
		return nil, errors.Mark(errors.New("entry: answer without length, which can be cut off unnoticed"), relay.ErrBroken)
	}
	body, err := ex.Whole()
	if err != nil {
		return nil, err
	}
	return &claim.Answer{Status: ex.Status(), ContentType: ex.Header().Get("Content-Type"), Body: body}, nil
}

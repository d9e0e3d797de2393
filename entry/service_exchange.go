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

// serviceExchange is one request to a plain service. It implements pipeline.Executor and is for one goroutine.
type serviceExchange struct {
	server  *Server
	service *config.Service
	call    *relay.Call
	// replicas are tried in this order, and from the beginning again after the last one.
	replicas []config.Upstream
	next     int
	// newConnection forbids the use of pooled connections.
	newConnection bool
	// response is the last complete response.
	response *claim.Response
}

// Place implements pipeline.Executor.
func (e *serviceExchange) Place(context.Context) (config.Upstream, error) {
	if len(e.replicas) == 0 {
		return config.Upstream{}, errors.Mark(errors.New("entry: the service has no replicas"), pipeline.ErrNoUpstream)
	}
	replica := e.replicas[e.next%len(e.replicas)]
	e.next++
	return replica, nil
}

// Attempt implements pipeline.Executor.
func (e *serviceExchange) Attempt(ctx context.Context, replica config.Upstream) error {
	response, err := e.send(ctx, replica)
	if err == nil {
		e.response = response
		err = checkStatus(response.Status)
	}
	e.recordHealth(ctx, replica, err)
	return mark(err)
}

// send sends the request to one replica and returns the complete response. It does not follow redirects.
func (e *serviceExchange) send(ctx context.Context, replica config.Upstream) (*claim.Response, error) {
	timeout := orDefault(e.service.Timeout.D(), defaultServiceTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	attempt := &relay.Attempt{Replica: &upstream.Replica{ID: replica.ID, Address: replica.Address}, Deadline: time.Now().Add(timeout), LastEventID: -1}
	ex, err := relay.Send(ctx, e.server.pool, serviceDialect{}, e.call, attempt, e.newConnection)
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

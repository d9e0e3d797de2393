package peer

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"

	"rhubarbpoint/peer/peerpb"
)

// openStreamField is the number of the field of peerpb.Request whose presence asks for a connection. peerpb has no type
// for it, so an instance that does not know it refuses the call as unknown.
const openStreamField protowire.Number = 16

// conn is a stream of a session that carries bytes of the two instances after its first frames. Close releases its slots.
type conn struct {
	*yamux.Stream
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Stream.Close()
	c.release()
	return err
}

// HandleStreams sets how connections of peers are served. admit may refuse one with an error, at best a *RemoteError;
// serve gets those that are admitted, in a goroutine of its own, and must have them closed. It must not be called after
// Serve.
func (t *Transport) HandleStreams(admit func(from string) error, serve func(conn net.Conn)) {
	t.admitStream, t.serveStream = admit, serve
}

// OpenStream opens a connection to another instance. Its errors are those of Call; after one that is marked ErrNotSent or
// is a *RemoteError, nothing was served. Too many open connections are an error at once.
func (t *Transport) OpenStream(ctx context.Context, instance string) (net.Conn, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	address, _ := t.opts.Address(instance)
	t.stats.calls.Inc(1)
	s, err := t.sessionTo(ctx, instance, address)
	if err == nil {
		var c net.Conn
		if c, err = t.openOn(ctx, s, instance); err == nil {
			return c, nil
		}
	}
	if errors.Is(err, yamux.ErrRemoteGoAway) {
		t.remove(s)
	}
	var remote *RemoteError
	if !errors.Is(err, ErrNoResponse) && !errors.As(err, &remote) {
		err = errors.Mark(err, ErrNotSent)
	}
	_, err = t.callResult(nil, err)
	return nil, err
}

func (t *Transport) openOn(ctx context.Context, s *session, instance string) (net.Conn, error) {
	select {
	case s.openSlots <- struct{}{}:
	default:
		return nil, errors.Newf("peer: %d connections to %s are open", maxOpenPerSession, instance)
	}
	release := sync.OnceFunc(func() {
		<-s.openSlots
		s.endCall()
	})
	s.beginCall()
	deadline, _ := ctx.Deadline()
	req := t.addressed(&peerpb.Request{}, instance, deadline)
	req.ProtoReflect().SetUnknown(protowire.AppendBytes(protowire.AppendTag(nil, openStreamField, protowire.BytesType), nil))
	frame, err := encodeFrame(req)
	if err != nil {
		release()
		return nil, err
	}
	a := newAttempt(ctx, s, frame, t.memoryBudget)
	a.keep = true
	resp, err := a.roundTrip(ctx)
	if err != nil {
		if !errors.Is(err, ErrNotSent) {
			go a.discard()
		}
		release()
		return nil, err
	}
	if remote := resp.GetError(); remote != nil {
		release()
		err := error(&RemoteError{Code: remote.GetCode(), Message: remote.GetMessage()})
		if strings.HasPrefix(remote.GetCode(), transportCodePrefix) {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	a.stream.SetDeadline(time.Time{})
	return &conn{a.stream, release}, nil
}

// discard closes a stream whose response came after its caller had left.
func (a *attempt) discard() {
	<-a.done
	if a.stream != nil {
		a.stream.Close()
	}
}

// opensStream reports whether a request asks for a connection.
func opensStream(req *peerpb.Request) bool {
	for unknown := []byte(req.ProtoReflect().GetUnknown()); len(unknown) > 0; {
		number, _, n := protowire.ConsumeField(unknown)
		if n < 0 {
			return false
		}
		if number == openStreamField {
			return true
		}
		unknown = unknown[n:]
	}
	return false
}

// acceptStream answers a request for a connection and returns it, or nil if it is refused.
func (t *Transport) acceptStream(s *session, stream *yamux.Stream, from string) net.Conn {
	if err := t.admitStream(from); err != nil {
		t.respond(stream, handlerErrorResponse(err))
		return nil
	}
	select {
	case t.openStreams <- struct{}{}:
	default:
		t.stats.callsRefused.Inc(1)
		t.respond(stream, errorResponse(CodeOverloaded, "too many connections"))
		return nil
	}
	t.inboundCalls.Add(1) // the call that opens the connection is counted until after this
	s.beginCall()
	t.stats.callsServed.Inc(1)
	t.respond(stream, &peerpb.Response{Result: &peerpb.Response_Empty{Empty: &peerpb.Empty{}}})
	stream.SetDeadline(time.Time{})
	return &conn{stream, sync.OnceFunc(func() {
		<-t.openStreams
		s.endCall()
		t.inboundCalls.Done()
	})}
}

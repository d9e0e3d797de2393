package peer

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"rhubarbpoint/peer/peerpb"
)

// acceptRetryDelay is the pause after a failed accept, such as one for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts sessions until Shutdown and then returns ErrClosed.
func (t *Transport) Serve(l net.Listener) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		l.Close()
		return ErrClosed
	}
	t.listeners = append(t.listeners, l)
	t.mu.Unlock()
	for {
		conn, err := l.Accept()
		select {
		case <-t.stop:
			if err == nil {
				conn.Close()
			}
			return ErrClosed
		default:
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "peer: listener")
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		// The session is refused by start when there are too many; its error is logged there.
		_, _ = t.start(conn, false, "")
	}
}

// acceptCalls serves the streams that the peer opens until the session ends.
func (t *Transport) acceptCalls(s *session) {
	defer func() {
		s.mux.Close()
		t.remove(s)
	}()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			eventSessionClosed.Log(s.ctx, t.opts.Logger, slog.String("peer", t.keyOf(s)), slog.Any("error", err))
			return
		}
		if s.inbound.Load() >= maxStreamsPerSession || !t.takeInbound() {
			t.stats.refusedCalls.Inc(1)
			t.respond(stream, failure(CodeOverloaded, "too many calls"))
			stream.Close()
			continue
		}
		s.begin()
		s.inbound.Add(1)
		go func() {
			defer func() {
				stream.Close()
				s.inbound.Add(-1)
				s.end()
				<-t.inbound
				t.calls.Done()
			}()
			t.serveCall(s, stream)
		}()
	}
}

// takeInbound counts a call that is to be served. The lock keeps calls from being added once Shutdown waits for them.
func (t *Transport) takeInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	select {
	case t.inbound <- struct{}{}:
		t.calls.Add(1)
		return true
	default:
		return false
	}
}

func (t *Transport) serveCall(s *session, stream *yamux.Stream) {
	req, err := t.readRequest(s, stream)
	if err != nil {
		t.stats.refusedFrames.Inc(1)
		eventBadFrame.Log(s.ctx, t.opts.Logger, slog.String("peer", t.keyOf(s)), slog.Any("error", err))
		code := CodeBadFrame
		if errors.Is(err, ErrTooLarge) {
			code = CodeFrameTooLarge
		}
		t.respond(stream, failure(code, err.Error()))
		return
	}
	if to := req.GetTo(); to != "" && to != t.opts.Self {
		t.respond(stream, failure(CodeWrongInstance, "this instance is "+t.opts.Self))
		return
	}
	t.learn(s, req.GetFrom())
	timeout := time.Duration(req.GetTimeoutMillis()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	t.respond(stream, t.dispatch(ctx, req))
}

func (t *Transport) readRequest(s *session, stream *yamux.Stream) (*peerpb.Request, error) {
	stream.SetReadDeadline(time.Now().Add(frameTimeout))
	r := readers.Get().(*bufio.Reader)
	r.Reset(stream)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	ctx, cancel := context.WithTimeout(s.ctx, frameTimeout)
	defer cancel()
	req := &peerpb.Request{}
	return req, readFrame(ctx, r, t.budget, req)
}

// dispatch runs the handler. A panic becomes an error, so that one bad call does not end the process.
func (t *Transport) dispatch(ctx context.Context, req *peerpb.Request) (resp *peerpb.Response) {
	handler := t.handlers[KindOf(req)]
	if handler == nil {
		return failure(CodeUnknownCall, fmt.Sprintf("no handler for %T", req.GetCall()))
	}
	defer func() {
		if p := recover(); p != nil {
			eventHandlerPanic.Log(ctx, t.opts.Logger, slog.String("peer", req.GetFrom()), slog.Any("panic", p))
			resp = failure(CodeInternal, "handler panicked")
		}
	}()
	t.stats.served.Inc(1)
	resp, err := handler(ctx, req.GetFrom(), req)
	if err != nil {
		return handlerFailure(err)
	}
	if resp == nil {
		return &peerpb.Response{Result: &peerpb.Response_Empty{Empty: &peerpb.Empty{}}}
	}
	return resp
}

func (t *Transport) respond(stream *yamux.Stream, resp *peerpb.Response) {
	frame, err := encodeFrame(resp)
	if err != nil {
		if frame, err = encodeFrame(failure(CodeResponseTooLarge, err.Error())); err != nil {
			return
		}
	}
	stream.SetWriteDeadline(time.Now().Add(frameTimeout))
	// A failed write ends the stream; the caller then reports that it has no answer.
	_, _ = stream.Write(frame)
}

// handlerFailure keeps the code of a *RemoteError, except for codes that are reserved for calls not executed.
func handlerFailure(err error) *peerpb.Response {
	var remote *RemoteError
	if errors.As(err, &remote) && !strings.HasPrefix(remote.Code, transportCodePrefix) {
		return failure(remote.Code, remote.Message)
	}
	return failure(CodeInternal, err.Error())
}

func failure(code, message string) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Error{Error: &peerpb.Error{
		Code: code, Message: strings.ToValidUTF8(message, "?"),
	}}}
}

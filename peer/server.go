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

// acceptRetryDelay is the pause after a failed accept, for example when no file descriptors are left.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts sessions until Shutdown and then returns ErrClosed. It fails if the listener is closed before.
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
			return errors.Wrap(err, "peer: accept")
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		// startSession logs if there are too many sessions.
		_, _ = t.startSession(conn, false, "")
	}
}

// acceptCalls accepts the streams that the peer opens and serves their calls until the session ends.
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
		if s.inboundCalls.Load() >= maxStreamsPerSession || !t.acquireInbound() {
			t.stats.callsRefused.Inc(1)
			t.respond(stream, errorResponse(CodeOverloaded, "too many calls"))
			stream.Close()
			continue
		}
		s.beginCall()
		s.inboundCalls.Add(1)
		go func() {
			var conn net.Conn
			defer func() {
				if conn == nil {
					stream.Close()
				}
				s.inboundCalls.Add(-1)
				s.endCall()
				<-t.inboundSlots
				t.inboundCalls.Done()
				if conn != nil {
					t.serveStream(conn)
				}
			}()
			conn = t.serveCall(s, stream)
		}()
	}
}

// acquireInbound acquires a slot for an inbound call and reports whether one was free. The lock ensures that no call is
// added once Shutdown waits for the inbound calls.
func (t *Transport) acquireInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	select {
	case t.inboundSlots <- struct{}{}:
		t.inboundCalls.Add(1)
		return true
	default:
		return false
	}
}

// serveCall reads the request of a stream and writes the response. It returns the connection to serve if the request
// opens one.
func (t *Transport) serveCall(s *session, stream *yamux.Stream) net.Conn {
	req, err := t.readRequest(s, stream)
	if err != nil {
		t.stats.framesRefused.Inc(1)
		eventBadFrame.Log(s.ctx, t.opts.Logger, slog.String("peer", t.keyOf(s)), slog.Any("error", err))
		code := CodeBadFrame
		if errors.Is(err, ErrTooLarge) {
			code = CodeFrameTooLarge
		}
		t.respond(stream, errorResponse(code, err.Error()))
		return nil
	}
	if to := req.GetTo(); to != "" && to != t.opts.Self {
		t.respond(stream, errorResponse(CodeWrongInstance, "this instance is "+t.opts.Self))
		return nil
	}
	t.identify(s, req.GetFrom())
	if opensStream(req) && t.serveStream != nil {
		return t.acceptStream(s, stream, req.GetFrom())
	}
	timeout := time.Duration(req.GetTimeoutMillis()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	t.respond(stream, t.dispatch(ctx, req))
	return nil
}

func (t *Transport) readRequest(s *session, stream *yamux.Stream) (*peerpb.Request, error) {
	stream.SetReadDeadline(time.Now().Add(frameTimeout))
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(stream)
	defer func() {
		r.Reset(nil)
		readerPool.Put(r)
	}()
	ctx, cancel := context.WithTimeout(s.ctx, frameTimeout)
	defer cancel()
	req := &peerpb.Request{}
	return req, readFrame(ctx, r, t.memoryBudget, req)
}

// dispatch runs the handler of a call. A panic becomes an Error message, so that a faulty call does not end the
// process.
func (t *Transport) dispatch(ctx context.Context, req *peerpb.Request) (resp *peerpb.Response) {
	handler := t.handlers[KindOf(req)]
	if handler == nil {
		return errorResponse(CodeUnknownCall, fmt.Sprintf("no handler for %T", req.GetCall()))
	}
	defer func() {
		if p := recover(); p != nil {
			eventHandlerPanic.Log(ctx, t.opts.Logger, slog.String("peer", req.GetFrom()), slog.Any("panic", p))
			resp = errorResponse(CodeInternal, "handler panicked")
		}
	}()
	t.stats.callsServed.Inc(1)
	resp, err := handler(ctx, req.GetFrom(), req)
	if err != nil {
		return handlerErrorResponse(err)
	}
	if resp == nil {
		return &peerpb.Response{Result: &peerpb.Response_Empty{Empty: &peerpb.Empty{}}}
	}
	return resp
}

// respond writes a response, or an Error message if the response is too large.
func (t *Transport) respond(stream *yamux.Stream, resp *peerpb.Response) {
	frame, err := encodeFrame(resp)
	if err != nil {
		if frame, err = encodeFrame(errorResponse(CodeResponseTooLarge, err.Error())); err != nil {
			return
		}
	}
	stream.SetWriteDeadline(time.Now().Add(frameTimeout))
	// After a failed write, the stream is closed and the caller reports that it got no response.
	_, _ = stream.Write(frame)
}

// handlerErrorResponse returns the Error message for an error of a handler. It keeps the code of a *RemoteError, except
// for the codes of the transport, which mean that the call was not executed.
func handlerErrorResponse(err error) *peerpb.Response {
	var remote *RemoteError
	if errors.As(err, &remote) && !strings.HasPrefix(remote.Code, transportCodePrefix) {
		return errorResponse(remote.Code, remote.Message)
	}
	return errorResponse(CodeInternal, err.Error())
}

// errorResponse returns an Error message. It replaces invalid UTF-8, which protobuf does not accept.
func errorResponse(code, message string) *peerpb.Response {
	return &peerpb.Response{Result: &peerpb.Response_Error{Error: &peerpb.Error{
		Code: code, Message: strings.ToValidUTF8(message, "?"),
	}}}
}

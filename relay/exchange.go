package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// inlineBody is the size up to which a body is written before the answer is read. A larger one could fill the
	// buffers of a replica that answers before it has read it.
	inlineBody = 16 << 10
	// maxForeign bounds the answers to other requests that are skipped on one connection.
	maxForeign = 2
	// maxWholeBytes bounds an answer that is collected before it is passed on.
	maxWholeBytes = 16 << 20
)

// Exchange is one request to a replica and its answer. It is for one goroutine. Close must be called.
type Exchange struct {
	pool  *Pool
	conn  *conn
	stop  func() bool // ends the watch on the context
	ctx   context.Context
	resp  *http.Response
	reply ResponseInfo
	// written is closed when the body has been written in the background; nil when it was written before.
	written chan error
	// whole is set when the answer has been read to its end.
	whole bool
	// skipped is set when the connection carried an answer to another request.
	skipped bool
	// unframed answers end with their connection.
	unframed   bool
	promptOnly bool
}

// Send sends one leg of a call and reads the head of the answer. fresh asks for a new connection. An answer with
// Reply.NotRun is returned as ErrRefused.
func Send(ctx context.Context, pool *Pool, dialect Dialect, call *Call, leg *Attempt, fresh bool) (*Exchange, error) {
	c, err := pool.get(ctx, leg.Replica.Address, fresh)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: pool, conn: c, ctx: ctx, promptOnly: leg.PromptOnly}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	if err := x.roundTrip(dialect, call, leg); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) roundTrip(dialect Dialect, call *Call, leg *Attempt) error {
	req := &http.Request{
		Method: call.Method, URL: &url.URL{Opaque: call.Target}, Host: cmp.Or(call.Host, leg.Replica.Address), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: dialect.AttemptHeader(call, leg, time.Now()), ContentLength: int64(len(call.Body)),
	}
	if _, found := req.Header["User-Agent"]; !found {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	if len(call.Body) > inlineBody {
		x.written = make(chan error, 1)
		go func() { x.written <- req.Write(x.conn) }()
	} else if err := req.Write(x.conn); err != nil {
		return x.broken(errors.Wrap(err, "relay: write"))
	}
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(x.conn.reader, req)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(x.conn.reader, req)
		}
		if err != nil {
			return x.broken(errors.Wrap(err, "relay: head of the answer"))
		}
		x.resp, x.reply = resp, dialect.ParseResponse(resp.StatusCode, resp.Header)
		if x.reply.RequestID == "" || x.reply.RequestID == call.ID {
			return x.accept()
		}
		// A late second answer to an earlier request. The connection is not used again.
		x.skipped = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWholeBytes)); err != nil {
			return x.broken(errors.Wrap(err, "relay: answer to another request"))
		}
	}
	return errors.Mark(errors.Mark(errors.New("relay: answers to other requests"), ErrResponseMismatch), ErrIncompleteResponse)
}

// accept judges the head of the answer.
func (x *Exchange) accept() error {
	x.unframed = x.resp.Request.Method != http.MethodHead && x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0
	switch {
	case x.reply.NotRun:
		err := errors.Mark(errors.Newf("relay: status %d", x.resp.StatusCode), ErrRefused)
		if x.reply.Misdirected {
			err = errors.Mark(err, ErrMisdirected)
		}
		// The rest is read, so that the connection can be used again.
		if _, readErr := x.ReadBody(); readErr != nil {
			x.whole = false
		}
		return err
	case x.resp.StatusCode < http.StatusMultipleChoices && !x.reply.Authentic && !x.promptOnly:
		return errors.Mark(errors.Mark(errors.New("relay: success without the replica's mark"), ErrResponseMismatch), ErrIncompleteResponse)
	}
	return nil
}

// Status returns the status of the answer.
func (x *Exchange) Status() int { return x.resp.StatusCode }

// Header returns the header of the answer.
func (x *Exchange) Header() http.Header { return x.resp.Header }

// Info returns what the head of the answer says.
func (x *Exchange) Info() ResponseInfo { return x.reply }

// ReadBody reads the whole body.
func (x *Exchange) ReadBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, maxWholeBytes+1))
	switch {
	case err != nil:
		return nil, x.broken(errors.Wrap(err, "relay: body"))
	case len(body) > maxWholeBytes:
		return nil, errors.Mark(errors.New("relay: answer too large"), ErrIncompleteResponse)
	}
	x.whole = true
	return body, nil
}

// Read reads the next piece of the body. It returns io.EOF only at the end of a complete answer.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		x.whole = true
	case err != nil:
		err = x.broken(errors.Wrap(err, "relay: body"))
	}
	return n, err
}

// Delimited says whether the end of the answer can be told from a broken connection.
func (x *Exchange) Delimited() bool { return !x.unframed }

// broken marks an error after the request has left.
func (x *Exchange) broken(err error) error {
	if x.ctx.Err() != nil {
		return errors.Mark(errors.CombineErrors(context.Cause(x.ctx), err), ErrRequestEnded)
	}
	return errors.Mark(err, ErrIncompleteResponse)
}

// Close ends the exchange. The connection is kept only when everything that was due on it has passed.
func (x *Exchange) Close() {
	running := x.stop()
	if !running || !x.whole || x.unframed || x.skipped || x.reply.Closing || !x.bodyWritten() || x.resp.Close {
		x.conn.Close()
		return
	}
	x.pool.put(x.conn, x.reply.KeepAlive)
}

// bodyWritten says whether the whole request body has been written. A replica that answered early would read the rest of
// it as the next request.
func (x *Exchange) bodyWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

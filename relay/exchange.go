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
	// maxInlineBody is the size up to which a request body is written before the response is read. A larger body could
	// fill the buffers and block if the replica responds before it has read the body.
	maxInlineBody = 16 << 10
	// maxSkippedResponses bounds the responses to other requests that are skipped on one connection.
	maxSkippedResponses = 2
	// maxBodyBytes bounds a response body that is buffered before it is passed on.
	maxBodyBytes = 16 << 20
)

// Exchange is one request to a replica and its response. It is not safe for concurrent use. Close must be called.
type Exchange struct {
	pool         *Pool
	conn         *conn
	stopWatching func() bool // cancels the function that closes the connection when ctx ends
	ctx          context.Context
	resp         *http.Response
	info         ResponseInfo
	// writeResult receives the result of a request that is written in the background; nil if it was written
	// synchronously.
	writeResult chan error
	// complete reports whether the response has been read to its end.
	complete bool
	// mismatched reports whether the connection carried a response to another request.
	mismatched bool
	// closeDelimited reports whether the end of the response is marked only by the end of the connection.
	closeDelimited bool
	promptOnly     bool
}

// Send makes one attempt at a call and reads the header of the response. With fresh it opens a new connection. A
// response with ResponseInfo.NotRun is returned as ErrRefused.
func Send(ctx context.Context, pool *Pool, dialect Dialect, call *Call, attempt *Attempt, fresh bool) (*Exchange, error) {
	c, err := pool.get(ctx, attempt.Replica.Address, fresh)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: pool, conn: c, ctx: ctx, promptOnly: attempt.PromptOnly}
	x.stopWatching = context.AfterFunc(ctx, func() { c.Close() })
	if err := x.roundTrip(dialect, call, attempt); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) roundTrip(dialect Dialect, call *Call, attempt *Attempt) error {
	req := &http.Request{
		Method: call.Method, URL: &url.URL{Opaque: call.Target}, Host: cmp.Or(call.Host, attempt.Replica.Address), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: dialect.AttemptHeader(call, attempt, time.Now()), ContentLength: int64(len(call.Body)),
	}
	if _, found := req.Header["User-Agent"]; !found {
		req.Header["User-Agent"] = nil // prevents net/http from adding its default
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	if len(call.Body) > maxInlineBody {
		x.writeResult = make(chan error, 1)
		go func() { x.writeResult <- req.Write(x.conn) }()
	} else if err := req.Write(x.conn); err != nil {
		return x.markIncomplete(errors.Wrap(err, "relay: write"))
	}
	for range maxSkippedResponses + 1 {
		resp, err := http.ReadResponse(x.conn.reader, req)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(x.conn.reader, req)
		}
		if err != nil {
			return x.markIncomplete(errors.Wrap(err, "relay: head of the answer"))
		}
		x.resp, x.info = resp, dialect.ParseResponse(resp.StatusCode, resp.Header)
		if x.info.RequestID == "" || x.info.RequestID == call.ID {
			return x.checkHeader()
		}
		// This is a late second response to an earlier request. The connection is not reused.
		x.mismatched = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
			return x.markIncomplete(errors.Wrap(err, "relay: answer to another request"))
		}
	}
	return errors.Mark(errors.Mark(errors.New("relay: answers to other requests"), ErrResponseMismatch), ErrIncompleteResponse)
}

// checkHeader returns an error if the response is a refusal, or a success without the signature that it should have.
func (x *Exchange) checkHeader() error {
	x.closeDelimited = x.resp.Request.Method != http.MethodHead && x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0
	switch {
	case x.info.NotRun:
		err := errors.Mark(errors.Newf("relay: status %d", x.resp.StatusCode), ErrRefused)
		if x.info.Misdirected {
			err = errors.Mark(err, ErrMisdirected)
		}
		// Reads the body, so that the connection can be reused.
		if _, readErr := x.ReadBody(); readErr != nil {
			x.complete = false
		}
		return err
	case x.resp.StatusCode < http.StatusMultipleChoices && !x.info.Authentic && !x.promptOnly:
		return errors.Mark(errors.Mark(errors.New("relay: successful response without the replica's signature"), ErrResponseMismatch), ErrIncompleteResponse)
	}
	return nil
}

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.resp.StatusCode }

// Header returns the header of the response.
func (x *Exchange) Header() http.Header { return x.resp.Header }

// Info returns what the dialect has parsed from the header of the response.
func (x *Exchange) Info() ResponseInfo { return x.info }

// ReadBody reads the complete body of the response.
func (x *Exchange) ReadBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, x.markIncomplete(errors.Wrap(err, "relay: body"))
	case len(body) > maxBodyBytes:
		return nil, errors.Mark(errors.New("relay: answer too large"), ErrIncompleteResponse)
	}
	x.complete = true
	return body, nil
}

// Read reads the next part of the body. It returns io.EOF only at the end of a complete response.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		x.complete = true
	case err != nil:
		err = x.markIncomplete(errors.Wrap(err, "relay: body"))
	}
	return n, err
}

// Delimited reports whether the end of the response can be distinguished from a closed connection.
func (x *Exchange) Delimited() bool { return !x.closeDelimited }

// markIncomplete marks an error that occurred after the request may have been sent: with ErrRequestEnded if the context
// has ended, otherwise with ErrIncompleteResponse.
func (x *Exchange) markIncomplete(err error) error {
	if x.ctx.Err() != nil {
		return errors.Mark(errors.CombineErrors(context.Cause(x.ctx), err), ErrRequestEnded)
	}
	return errors.Mark(err, ErrIncompleteResponse)
}

// Close ends the exchange. The connection returns to the pool only if the request and the response are complete and
// nothing else is outstanding on it; otherwise it is closed.
func (x *Exchange) Close() {
	watching := x.stopWatching()
	if !watching || !x.complete || x.closeDelimited || x.mismatched || x.info.Closing || !x.bodyWritten() || x.resp.Close {
		x.conn.Close()
		return
	}
	x.pool.put(x.conn, x.info.KeepAlive)
}

// bodyWritten reports whether the request body has been written completely. A replica that responded early would read
// the rest of the body as the next request.
func (x *Exchange) bodyWritten() bool {
	if x.writeResult == nil {
		return true
	}
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

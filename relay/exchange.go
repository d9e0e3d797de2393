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
	"golang.org/x/net/http/httpguts"
)

const (
	// maxInlineBody is the size up to which a request body is written before the response is read. A larger body could
	// fill the buffers and block if the replica responds before it has read the body.
	maxInlineBody = 16 << 10
	// maxSkippedResponses bounds the responses to other requests that are skipped on one connection.
	maxSkippedResponses = 2
	// maxBodyBytes bounds a response body that is buffered before it is passed on.
	maxBodyBytes = 16 << 20
	// maxHeadBytes bounds the head of a response, together with the informational heads before it.
	maxHeadBytes = 64 << 10
	// maxRefusalBytes bounds the body of a refusal, which is read only to reuse the connection.
	maxRefusalBytes = 16 << 10
	// minBodyBuffer is the size of the first block for a body of unknown length, bodyBlockBytes that of the others.
	minBodyBuffer  = 512
	bodyBlockBytes = freeBufferBytes
	// maxInformational bounds the informational (1xx) responses before a response.
	maxInformational = 5
	// maxHeadTime bounds the time from the first byte of a head to its end. It covers two retransmissions over TCP.
	maxHeadTime = 3 * time.Second
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
	memory         bodyMemory
}

// Send makes one attempt at a call and reads the header of the response. With fresh it opens a new connection. A
// response with ResponseInfo.NotRun is returned as ErrRefused.
func Send(ctx context.Context, pool *Pool, dialect Dialect, call *Call, attempt *Attempt, fresh bool) (*Exchange, error) {
	c, err := pool.get(ctx, attempt.Replica.Address, fresh)
	if err != nil {
		return nil, err
	}
	if attempt.Probe != nil {
		if c, err = attempt.Probe.run(ctx, pool, c); err != nil {
			return nil, err
		}
	}
	x := &Exchange{pool: pool, conn: c, ctx: ctx, promptOnly: attempt.PromptOnly, memory: bodyMemory{pool: pool.memory, hold: attempt.Hold}}
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
		resp, err := x.readHead(req)
		if err != nil {
			return x.markIncomplete(errors.Wrap(err, "relay: head of the answer"))
		}
		x.resp, x.info = resp, dialect.ParseResponse(resp.StatusCode, resp.Header)
		if x.belongsTo(call) {
			if attempt.OnResponse != nil && !x.info.Misdirected {
				attempt.OnResponse(x.info)
			}
			return x.checkHeader()
		}
		// This is a late or repeated response to an earlier request. The connection is not reused.
		x.mismatched = true
		skipped, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes+1))
		if err != nil {
			return x.markIncomplete(errors.Wrap(err, "relay: answer to another request"))
		}
		if skipped > maxBodyBytes {
			break // the next bytes on the connection are in the middle of that body
		}
	}
	return errors.Mark(errors.Mark(errors.New("relay: answers to other requests"), ErrResponseMismatch), ErrIncompleteResponse)
}

// belongsTo reports whether the response is one to the call. On a connection that has carried another call, a response
// without ID may be a repeated one to that call; connections are only reused after responses with an ID.
func (x *Exchange) belongsTo(call *Call) bool {
	if x.info.Unidentified {
		return !x.conn.reused
	}
	return x.info.RequestID == "" || x.info.RequestID == call.ID
}

// readHead reads the head of the next final response and skips the informational ones before it.
func (x *Exchange) readHead(req *http.Request) (*http.Response, error) {
	x.conn.head.limit()
	defer x.conn.head.unlimit()
	for range maxInformational + 1 {
		// A request may wait at the replica for long, so time counts only from the first byte.
		if _, err := x.conn.reader.Peek(1); err != nil {
			return nil, err
		}
		x.conn.SetReadDeadline(time.Now().Add(maxHeadTime))
		resp, err := http.ReadResponse(x.conn.reader, req)
		x.conn.SetReadDeadline(time.Time{})
		switch {
		case err != nil:
			return nil, err
		case !isStatus(resp.StatusCode):
			return nil, errors.Newf("relay: %03d is no status", resp.StatusCode)
		}
		if err := x.checkFraming(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.Newf("relay: more than %d informational responses", maxInformational)
}

// checkFraming returns an error if the length of the response is uncertain although net/http accepts its head. Read as
// having no length, a part of the response would look whole.
func (x *Exchange) checkFraming(resp *http.Response) error {
	if resp.ProtoMajor != 1 || resp.ProtoMinor == 0 { // headReader has changed a first HTTP/1.0
		return errors.Newf("relay: version %q", resp.Proto)
	}
	if x.conn.head.old {
		resp.Close = true
		if len(resp.TransferEncoding) > 0 {
			return errors.New("relay: transfer encoding in HTTP/1.0")
		}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("relay: malformed field name %q", name)
		}
	}
	return nil
}

// isStatus reports whether a number is the status of a response to a request that asks for no other protocol.
func isStatus(code int) bool {
	return code >= http.StatusContinue && code <= 599 && code != http.StatusSwitchingProtocols
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
		// Reads a short body to its end, so that the connection can be reused.
		n, readErr := io.Copy(io.Discard, io.LimitReader(x.resp.Body, maxRefusalBytes+1))
		x.complete = readErr == nil && n <= maxRefusalBytes
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

// Buffer accounts for a buffer of size bytes, which holds a part of the response until Close. It fails if the exchanges
// of the pool buffer too much already.
func (x *Exchange) Buffer(size int) error {
	if err := x.memory.grow(size); err != nil {
		return errors.Mark(err, ErrIncompleteResponse)
	}
	return nil
}

// ReadBody reads the complete body of the response.
func (x *Exchange) ReadBody() ([]byte, error) {
	if x.resp.ContentLength > maxBodyBytes {
		return nil, errors.Mark(errors.Newf("relay: answer of %d bytes is too large", x.resp.ContentLength), ErrIncompleteResponse)
	}
	// A list of blocks, because a buffer that grows would leave its earlier copies to the garbage collector.
	var blocks [][]byte
	size := 0
	block := make([]byte, 0, max(minBodyBuffer, min(x.resp.ContentLength+1, bodyBlockBytes))) // one byte more, to see the end
	for {
		n, err := x.resp.Body.Read(block[len(block):cap(block)])
		block, size = block[:len(block)+n], size+n
		switch {
		case err == io.EOF:
			if err := x.finishRead(); err != nil {
				return nil, err
			}
			if len(blocks) == 0 {
				return block, nil
			}
			return bytes.Join(append(blocks, block), nil), nil
		case err != nil:
			return nil, x.markIncomplete(errors.Wrap(err, "relay: body"))
		case size > maxBodyBytes:
			return nil, errors.Mark(errors.New("relay: answer too large"), ErrIncompleteResponse)
		case len(block) < cap(block):
			continue
		}
		if err := x.Buffer(size + bodyBlockBytes); err != nil {
			return nil, err
		}
		blocks, block = append(blocks, block), make([]byte, 0, bodyBlockBytes)
	}
}

// Read reads the next part of the body. It returns io.EOF only at the end of a complete response.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		if incomplete := x.finishRead(); incomplete != nil {
			err = incomplete
		}
	case err != nil:
		err = x.markIncomplete(errors.Wrap(err, "relay: body"))
	}
	return n, err
}

// finishRead marks the response as complete at the end of its body. If the end of the connection delimits it, it returns
// an error unless the request was written completely: a socket reports a reset only once, to a write as well as to a
// read, and looks closed in order after that.
func (x *Exchange) finishRead() error {
	if x.closeDelimited && x.writeResult != nil {
		x.conn.SetWriteDeadline(time.Now()) // ends a write that is still blocked
		if err := <-x.writeResult; err != nil {
			return x.markIncomplete(errors.Wrap(err, "relay: connection ended during the request body"))
		}
		x.writeResult = nil
	}
	x.complete = true
	return nil
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
	x.memory.release()
	watching := x.stopWatching()
	// Bytes after the end of the response belong to no request.
	if !watching || !x.complete || x.closeDelimited || x.mismatched || x.info.Unidentified || x.info.Closing || !x.bodyWritten() || x.resp.Close ||
		x.conn.reader.Buffered() > 0 {
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

package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/claim"
	"rhubarbpoint/config"
)

// serviceIdleTimeout is short, because an idle connection can go silent without notice.
const serviceIdleTimeout = 5 * time.Second

// Errors of exchanges with plain services.
var (
	// errNotSent means that no connection was made.
	errNotSent = errors.New("entry: call not sent")
	// errNoAnswer means that the whole answer did not come.
	errNoAnswer = errors.New("entry: no whole answer from the service")
)

// exchange is one call to a plain service.
type exchange struct {
	server  *Server
	call    *call
	service *config.Service
	method  string
	target  string // escaped path and query
	header  http.Header
	body    []byte
}

// boundedDial limits the time of a dial and marks its errors, so that they can be told from those after it.
func boundedDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, serviceDialTimeout)
		defer cancel()
		conn, err := dial(ctx, network, addr)
		return conn, errors.Mark(err, errNotSent)
	}
}

// send makes the call to one replica and returns the whole answer. It follows no redirects.
func (e *exchange) send(ctx context.Context, over http.RoundTripper, addr string) (*claim.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(e.service.Timeout.D(), defaultServiceTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, e.method, "http://"+addr+e.target, bytes.NewReader(e.body))
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	// Without GetBody the transport cannot repeat the request by itself.
	req.GetBody = nil
	req.Header = e.header.Clone()
	resp, err := over.RoundTrip(req)
	if err != nil {
		return nil, errors.Mark(err, errNoAnswer)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, errors.Mark(err, errNoAnswer)
	case len(body) > maxAnswerBytes:
		return nil, errors.Wrap(errNoAnswer, "answer too large")
	case !e.isDelimited(resp):
		return nil, errors.Wrap(errNoAnswer, "answer without length, which can be cut off unnoticed")
	}
	return &claim.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// isDelimited says whether the end of an answer can be told from a broken connection.
func (e *exchange) isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") || e.method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

package relay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probeTime bounds a probe, maxProbeBytes its response.
	probeTime     = 500 * time.Millisecond
	maxProbeBytes = 1 << 20
)

// maxClosedProbes bounds the connections that a replica closes after a probe.
const maxClosedProbes = 1

// errProbedConnectionEnds means that no call can follow on the connection of a probe.
var errProbedConnectionEnds = errors.New("the connection ends with the probe")

// Probe is a request that an attempt sends first, on the connection that then carries the call. A process that ends breaks
// all its connections, so the process that answers the probe is the one that gets the call.
type Probe struct {
	Target string
	Header http.Header
	// Check is called with the response and returns an error if the call must not be sent.
	Check func(status int, body []byte) error
}

// run sends the probe on a connection and returns the connection for the call: another one if the replica closes the first. After
// an error there is none. It is marked with ErrNotSent, since the call was not sent, and that of Check also with ErrMisdirected.
func (p *Probe) run(ctx context.Context, pool *Pool, c *conn) (*conn, error) {
	for closed := 0; ; closed++ {
		err := p.runOn(ctx, c)
		if err == nil {
			return c, nil
		}
		c.Close()
		if !errors.Is(err, errProbedConnectionEnds) || closed == maxClosedProbes {
			return nil, err
		}
		if c, err = pool.get(ctx, c.addr, true); err != nil {
			return nil, err
		}
	}
}

func (p *Probe) runOn(ctx context.Context, c *conn) error {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	status, body, err := p.roundTrip(c)
	switch {
	case ctx.Err() != nil:
		return errors.Mark(errors.Mark(context.Cause(ctx), ErrRequestEnded), ErrNotSent)
	case err != nil:
		return errors.Mark(errors.Wrap(err, "relay: probe"), ErrNotSent)
	}
	if err := p.Check(status, body); err != nil {
		return errors.Mark(errors.Mark(err, ErrMisdirected), ErrNotSent)
	}
	return nil
}

// roundTrip returns an error if no call can follow on the connection.
func (p *Probe) roundTrip(c *conn) (status int, body []byte, err error) {
	c.SetDeadline(time.Now().Add(probeTime))
	defer c.SetDeadline(time.Time{})
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Opaque: p.Target}, Host: c.addr, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: p.Header,
	}
	if err := req.Write(c); err != nil {
		return 0, nil, err
	}
	c.head.limit()
	resp, err := http.ReadResponse(c.reader, req)
	c.head.unlimit()
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes+1))
	switch {
	case err != nil:
		return 0, nil, err
	case len(body) > maxProbeBytes, resp.Close, c.head.old, resp.ContentLength < 0 && len(resp.TransferEncoding) == 0, c.reader.Buffered() > 0:
		return 0, nil, errProbedConnectionEnds
	}
	return resp.StatusCode, body, nil
}

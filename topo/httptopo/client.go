// Package httptopo is the HTTP adapter to the platform's store and instance list. docs/platform-api.md describes the
// wire format.
package httptopo

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/topo"
)

const (
	// CallTimeout bounds each call but a watch, from the dial to the last byte of the answer.
	CallTimeout = 2 * time.Second
	// MaxWatchWait is the longest wait of one watch; longer waits are cut to it.
	MaxWatchWait = 10 * time.Second
	dialTimeout  = 1 * time.Second
	// idleConnTimeout is longer than the interval of regular calls, so that connections are reused.
	idleConnTimeout = 30 * time.Second
	// maxIdleConns suits the claim writes in flight at once from one instance.
	maxIdleConns = 16
	// maxAnswerBytes allows a list of 32 full values in base64.
	maxAnswerBytes = 48 << 20
)

// Client talks to the platform. It is safe for concurrent use.
type Client struct {
	base      string
	transport *http.Transport
	http      *http.Client
	metrics   metrics.Registry
}

var (
	_ topo.Store     = (*Client)(nil)
	_ topo.Directory = (*Client)(nil)
)

// New returns a client of the platform at addr (IP:port). It counts calls as topo.calls.<kind>, failed ones as
// topo.errors.<kind> and timeouts as topo.timeouts in the registry; a nil registry counts nowhere.
func New(addr string, registry metrics.Registry) *Client {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
	}
	return &Client{
		base: "http://" + addr, transport: transport, http: &http.Client{Transport: transport}, metrics: registry,
	}
}

// Close closes idle connections. Calls in flight go on.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Instances implements topo.Directory.
func (c *Client) Instances(ctx context.Context) ([]topo.Instance, error) {
	var list []topo.Instance
	err := c.do(ctx, &call{op: opInstances, method: http.MethodGet, path: "/v1/instances", out: &list})
	return list, err
}

package httptopo

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"rhubarbpoint/topo"
)

// Get implements topo.Store.
func (c *Client) Get(ctx context.Context, key string) (topo.Entry, error) {
	var e topo.Entry
	err := c.do(ctx, &call{
		op: topo.OpGet, method: http.MethodGet, path: "/v1/kv", query: url.Values{"key": {key}}, out: &e,
	})
	return e, err
}

// List implements topo.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]topo.Entry, error) {
	var entries []topo.Entry
	err := c.do(ctx, &call{
		op: topo.OpList, method: http.MethodGet, path: "/v1/list", query: url.Values{"prefix": {prefix}}, out: &entries,
	})
	return entries, err
}

// Written is the answer to a Put.
type Written struct {
	Revision int64 `json:"revision"`
}

// Put implements topo.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect int64, lease topo.LeaseID) (int64, error) {
	if len(value) > topo.MaxValueBytes {
		return 0, topo.ErrTooLarge
	}
	var written Written
	query := url.Values{"key": {key}, "expect": {format(expect)}, "lease": {format(int64(lease))}}
	err := c.do(ctx, &call{op: topo.OpPut, method: http.MethodPut, path: "/v1/kv", query: query, body: value, out: &written})
	return written.Revision, err
}

// Delete implements topo.Store.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	query := url.Values{"key": {key}, "expect": {format(expect)}}
	return c.do(ctx, &call{op: topo.OpDelete, method: http.MethodDelete, path: "/v1/kv", query: query})
}

// Granted is the answer to a Grant.
type Granted struct {
	Lease topo.LeaseID `json:"lease"`
}

// Grant implements topo.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (topo.LeaseID, error) {
	var granted Granted
	err := c.do(ctx, &call{
		op: topo.OpGrant, method: http.MethodPost, path: "/v1/leases", query: url.Values{"ttl": {ttl.String()}}, out: &granted,
	})
	return granted.Lease, err
}

// KeepAlive implements topo.Store.
func (c *Client) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	return c.do(ctx, &call{
		op: topo.OpKeepAlive, method: http.MethodPost, path: "/v1/leases/keepalive", query: url.Values{"lease": {format(int64(id))}},
	})
}

// Revoke implements topo.Store.
func (c *Client) Revoke(ctx context.Context, id topo.LeaseID) error {
	return c.do(ctx, &call{
		op: topo.OpRevoke, method: http.MethodDelete, path: "/v1/leases", query: url.Values{"lease": {format(int64(id))}},
	})
}

// Watched is the answer to a Watch.
type Watched struct {
	Entries  []topo.Entry `json:"entries"`
	Revision int64        `json:"revision"`
}

// Watch implements topo.Store. A wait above MaxWatchWait is cut to it. The call times out CallTimeout after the wait.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	wait = min(wait, MaxWatchWait)
	watched := Watched{Revision: after}
	err := c.do(ctx, &call{
		op: topo.OpWatch, method: http.MethodGet, path: "/v1/watch", out: &watched, timeout: wait + CallTimeout,
		query: url.Values{"prefix": {prefix}, "after": {format(after)}, "wait": {wait.String()}},
	})
	if err != nil {
		return nil, after, err
	}
	return watched.Entries, watched.Revision, nil
}

func format(n int64) string { return strconv.FormatInt(n, 10) }

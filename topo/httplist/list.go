// Package httplist reads the platform's instance list over HTTP, for sites whose platform has one in addition to its
// store.
package httplist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/topo"
)

const (
	// callTimeout bounds one read of the list.
	callTimeout = 2 * time.Second
	// maxListBytes is many times the size of a list of 320 instances and 860 replicas at about 200 bytes each.
	maxListBytes = 4 << 20
	// maxHeadBytes bounds the head of the response.
	maxHeadBytes = 64 << 10
	// Path is the path of the list.
	Path = "/v1/instances"
)

// Client reads the instance list. It is safe for concurrent use.
type Client struct {
	url  string
	http http.Client
}

var _ topo.Directory = (*Client)(nil)

// New returns a client of the instance list at addr (IP:port).
func New(addr string) *Client {
	// The list is read at most every ten seconds, and an idle connection could fail without notice.
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{url: "http://" + addr + Path, http: http.Client{Transport: transport}}
}

// Instances implements topo.Directory. It returns topo.ErrUnavailable when the list cannot be read.
func (c *Client) Instances(ctx context.Context) ([]topo.Instance, error) {
	list, err := c.read(ctx)
	if err != nil {
		return nil, errors.Mark(err, topo.ErrUnavailable)
	}
	return list, nil
}

func (c *Client) read(ctx context.Context) ([]topo.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "topo: instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("topo: instance list: status %d", resp.StatusCode)
	}
	var list []topo.Instance
	err = json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list)
	return list, errors.Wrap(err, "topo: instance list")
}

// Package client is a client of an instance's operator listener. The command rhubarbpoint uses it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/explain"
	"rhubarbpoint/operator"
)

const (
	dialTimeout = 2 * time.Second
	// callTimeout is longer than an edit, which the instance bounds at 10 s.
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrUnreachable means that the instance did not answer. An edit may have been accepted nevertheless.
var ErrUnreachable = errors.New("operator: instance did not answer")

// Client calls one instance. It returns failures that the instance reports as *operator.Error. It is safe for
// concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client of the operator listener at addr (IP:port).
func New(addr string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{baseURL: "http://" + addr, httpClient: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// Config returns the document in force, with all defaults if defaults is set.
func (c *Client) Config(ctx context.Context, defaults bool) (*operator.Configuration, error) {
	var configuration operator.Configuration
	query := url.Values{"defaults": {strconv.FormatBool(defaults)}}
	return &configuration, c.call(ctx, http.MethodGet, "/v1/config", query, nil, &configuration)
}

// Diff compares the document in force with that of version from, or with the previous one if from is 0.
func (c *Client) Diff(ctx context.Context, from int64) (*operator.Difference, error) {
	query := url.Values{}
	if from > 0 {
		query.Set("from", strconv.FormatInt(from, 10))
	}
	var difference operator.Difference
	return &difference, c.call(ctx, http.MethodGet, "/v1/config/diff", query, nil, &difference)
}

// Propose checks a section together with the document in force and lists what it would change.
func (c *Client) Propose(ctx context.Context, section string, content []byte) (*operator.Difference, error) {
	var difference operator.Difference
	return &difference, c.call(ctx, http.MethodPost, "/v1/config/diff", url.Values{"section": {section}}, content, &difference)
}

// Seed puts the first document into a store that holds none.
func (c *Client) Seed(ctx context.Context, document []byte) (*operator.Accepted, error) {
	var accepted operator.Accepted
	return &accepted, c.call(ctx, http.MethodPut, "/v1/config", nil, document, &accepted)
}

// Rollout reports which members have a version in force; 0 means the version in force on the instance.
func (c *Client) Rollout(ctx context.Context, version int64) (*operator.Rollout, error) {
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatInt(version, 10))
	}
	var rollout operator.Rollout
	return &rollout, c.call(ctx, http.MethodGet, "/v1/config/rollout", query, nil, &rollout)
}

// State returns the state of one part of the instance, or of all parts if part is empty.
func (c *Client) State(ctx context.Context, part string) (json.RawMessage, error) {
	var state json.RawMessage
	err := c.call(ctx, http.MethodGet, "/debug/state", url.Values{"part": {part}}, nil, &state)
	return state, err
}

// Explain returns how the instance would serve a request.
func (c *Client) Explain(ctx context.Context, req *explain.Request) (*explain.Result, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "operator: encode request")
	}
	var result explain.Result
	return &result, c.call(ctx, http.MethodPost, "/debug/explain", nil, body, &result)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, out), "operator: decode response")
	}
	var failure operator.Error
	if json.Unmarshal(data, &failure) != nil || failure.Code == "" {
		return errors.Newf("operator: %s %s: status %d", method, path, resp.StatusCode)
	}
	return &failure
}

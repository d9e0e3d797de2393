// Package client calls the operator listener of an instance. The command rhubarbpoint is built on it.
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

	"rhubarbpoint/operator"
)

const (
	dialTimeout = 2 * time.Second
	// callTimeout is longer than an edit, which the instance bounds at 10 s.
	callTimeout    = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// ErrUnreachable means that the instance did not answer. An edit may have been accepted nevertheless.
var ErrUnreachable = errors.New("operator: instance did not answer")

// Client calls one instance. Failures that the instance reports come as *operator.Error. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the operator listener at addr (IP:port).
func New(addr string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{base: "http://" + addr, http: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// Config returns the document in force, with all defaults if asked.
func (c *Client) Config(ctx context.Context, defaults bool) (*operator.Configuration, error) {
	var answer operator.Configuration
	query := url.Values{"defaults": {strconv.FormatBool(defaults)}}
	return &answer, c.call(ctx, http.MethodGet, "/v1/config", query, nil, &answer)
}

// Diff compares the document in force with an earlier one; from 0 means the one before.
func (c *Client) Diff(ctx context.Context, from int64) (*operator.Difference, error) {
	query := url.Values{}
	if from > 0 {
		query.Set("from", strconv.FormatInt(from, 10))
	}
	var answer operator.Difference
	return &answer, c.call(ctx, http.MethodGet, "/v1/config/diff", query, nil, &answer)
}

// Propose checks a section together with the document in force and lists what it would change.
func (c *Client) Propose(ctx context.Context, section string, content []byte) (*operator.Difference, error) {
	var answer operator.Difference
	return &answer, c.call(ctx, http.MethodPost, "/v1/config/diff", url.Values{"section": {section}}, content, &answer)
}

// Seed gives the first document to a store that holds none.
func (c *Client) Seed(ctx context.Context, document []byte) (*operator.Accepted, error) {
	var answer operator.Accepted
	return &answer, c.call(ctx, http.MethodPut, "/v1/config", nil, document, &answer)
}

// Rollout says which members have a version in force; 0 means the version in force on the instance.
func (c *Client) Rollout(ctx context.Context, version int64) (*operator.Rollout, error) {
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatInt(version, 10))
	}
	var answer operator.Rollout
	return &answer, c.call(ctx, http.MethodGet, "/v1/config/rollout", query, nil, &answer)
}

// State returns the state of an instance by part; an empty part means all.
func (c *Client) State(ctx context.Context, part string) (json.RawMessage, error) {
	var answer json.RawMessage
	err := c.call(ctx, http.MethodGet, "/debug/state", url.Values{"part": {part}}, nil, &answer)
	return answer, err
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, out), "operator: unreadable answer")
	}
	var failure operator.Error
	if json.Unmarshal(data, &failure) != nil || failure.Code == "" {
		return errors.Newf("operator: status %d", resp.StatusCode)
	}
	return &failure
}

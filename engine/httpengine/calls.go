package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

const (
	callTimeout = 3 * time.Second
	// slowTimeout bounds an order, which can take the engine out of service for up to 10 minutes, and a transfer of KV
	// cache.
	slowTimeout  = 11 * time.Minute
	maxBodyBytes = 4 << 20
)

var _ engine.Client = (*Client)(nil)

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, addr, requestID, attempt string) error {
	body := struct {
		RequestID string `json:"request_id"`
		Attempt   string `json:"attempt"`
	}{requestID, attempt}
	return c.call(ctx, http.MethodPost, addr, "/v1/cancel", body, nil)
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, addr string) (*engine.LoadReport, error) {
	var report engine.LoadReport
	err := c.call(ctx, http.MethodGet, addr, "/v1/load", nil, &report)
	return &report, err
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) (*engine.CacheEvents, error) {
	var events engine.CacheEvents
	err := c.call(ctx, http.MethodGet, addr, "/v1/cache-events?after="+strconv.FormatUint(after, 10), nil, &events)
	return &events, err
}

// State implements engine.Client.
func (c *Client) State(ctx context.Context, addr string) (*engine.State, error) {
	var state engine.State
	err := c.call(ctx, http.MethodGet, addr, "/v1/state", nil, &state)
	return &state, err
}

// Order implements engine.Client.
func (c *Client) Order(ctx context.Context, addr string, order *engine.Order) (*engine.OrderResult, error) {
	var result engine.OrderResult
	err := c.slowCall(ctx, addr, "/v1/orders", order, &result)
	return &result, err
}

// ExportKV implements engine.Client.
func (c *Client) ExportKV(ctx context.Context, addr, requestID string) (*engine.KVHandle, error) {
	body := struct {
		RequestID string `json:"request_id"`
	}{requestID}
	var handle engine.KVHandle
	err := c.slowCall(ctx, addr, "/v1/kv/export", body, &handle)
	return &handle, err
}

// ImportKV implements engine.Client.
func (c *Client) ImportKV(ctx context.Context, addr string, handle *engine.KVHandle) error {
	return c.slowCall(ctx, addr, "/v1/kv/import", handle, nil)
}

// call sends a request that the engine answers at once.
func (c *Client) call(ctx context.Context, method, addr, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return exchange(ctx, c.calls, method, addr, path, in, out)
}

// slowCall sends a request that the engine answers only after a change or transfer has finished.
func (c *Client) slowCall(ctx context.Context, addr, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	return exchange(ctx, c.slow, http.MethodPost, addr, path, in, out)
}

// exchange sends one JSON request and decodes the response into out, if out is not nil.
func exchange(ctx context.Context, transport http.RoundTripper, method, addr, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Mark(err, engine.ErrNotSent)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Mark(err, engine.ErrNotSent)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return errors.Mark(err, engine.ErrConnectionBroken)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Mark(err, engine.ErrCorrupt)
	}
	return nil
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answered is what a client got for a request.
type answered struct {
	request   string
	status    int // 0 without an answer
	signature string
	body      string
	err       error
}

// lastRequest numbers the requests.
var lastRequest atomic.Int64

// client sends requests of one caller to one instance, and keeps its connection.
type client struct {
	record *record
	http   *http.Client
}

func newClient(rec *record) *client {
	return &client{record: rec, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}}
}

// send makes one client attempt with an ID of its own.
func (c *client) send(n *node, method, host, path string, body []byte, deadline time.Duration) answered {
	a := answered{request: fmt.Sprintf("%016x", 0x5eed0000+lastRequest.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(names.Request, a.request)
	req.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	c.record.log("sent %s to %s: %s %s%s", a.request, n.name, method, host, path)
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.status, a.signature, a.body = resp.StatusCode, resp.Header.Get(names.Signature), string(data)
	}
	if a.err = err; err != nil {
		a.status = 0
		c.record.log("answer to %s: none (%v)", a.request, err)
		return a
	}
	c.record.log("answer to %s: %d, signature of %q: %.60q", a.request, a.status, a.signature, a.body)
	return a
}

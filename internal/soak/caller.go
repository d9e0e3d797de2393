package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/platform"
)

// Kinds of requests, which are the first elements of their paths.
const (
	pathOrder = "order" // not idempotent
	pathLook  = "look"  // idempotent
	pathChat  = "chat"  // a stream
	pathGrade = "grade" // a stream with a long prompt, for replicas with stages
)

const (
	hostName = "h.example"
	zoneName = "region-1-a"
	// callerDeadline is the deadline of requests, callerPause the time between two requests of a caller.
	callerDeadline = 4 * time.Second
	callerPause    = 30 * time.Millisecond
	// routeTimeout is the timeout of all routes.
	routeTimeout = 4 * time.Second
	// callersPerKind is the number of callers of each kind of request at each instance.
	callersPerKind = 2
	// slowMark is part of the IDs of callers that read their responses of slowBytes slowly: slowRead bytes each slowPause.
	slowMark  = "-slow-"
	slowBytes = 2 << 20
	slowRead  = 128 << 10
	slowPause = 100 * time.Millisecond
	// slowCallers is their number at each instance.
	slowCallers = 3
	// slowBuffer is the receive buffer of such a caller, so that the instance has to hold the response.
	slowBuffer = 32 << 10
	// memoryMB gives the instances so little memory that the responses of three slow callers reach the bounds.
	memoryMB = 32
)

// isStream reports whether requests of a kind are answered with streams.
func isStream(kind string) bool {
	return kind == pathChat || kind == pathGrade || slices.Contains(streamServices, kind)
}

// kindOf returns the kind of request of a URL path.
func kindOf(path string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return kind
}

// caller sends requests of one kind to one instance, one after another, on connections that it reuses until they end.
type caller struct {
	cluster  *cluster
	instance *instance
	kind     string
	name     string
	// key is the API key; empty means stableKey.
	key string
	// segments, if not empty, are those of the prompt, with a verb for the last one.
	segments string
}

func (c *caller) run(stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	if strings.Contains(c.name, slowMark) {
		transport.DialContext = dialSlow
	}
	client := &http.Client{Transport: transport, Timeout: callerDeadline + time.Second}
	if isStream(c.kind) {
		client.Timeout = streamDeadline + time.Second
	}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callerPause):
			id := fmt.Sprintf("%s-%d", c.name, n)
			if isStream(c.kind) {
				c.playStream(client, id)
			} else {
				c.sendRequest(client, id, n%2 == 0)
			}
		}
	}
}

// sendRequest sends a request. If retry is true, it sends a refused request up to two more times.
func (c *caller) sendRequest(client *http.Client, id string, retry bool) {
	for attempt := 0; ; attempt++ {
		c.cluster.recorder.increment(&c.cluster.recorder.counts.Sent)
		last := !retry || attempt == 2
		endTry := func(bool) {}
		if attempt == 0 && !strings.Contains(id, slowMark) { // those last longer than the check
			endTry = c.cluster.firstTry(c.instance)
		}
		status, body, err := c.send(client, c.instance, id)
		endTry(err == nil && status == http.StatusOK)
		switch {
		case err != nil:
			c.recordBroken(c.instance, id, status, err)
			return
		case status == http.StatusServiceUnavailable:
			c.cluster.recorder.recordRefusal(id, last)
			if last {
				return
			}
			time.Sleep(callerPause)
			continue
		case status == http.StatusNotFound, status == http.StatusUnauthorized:
			c.recordDenied(c.instance, id, status)
		case status == http.StatusOK:
			c.checkBody(id, body)
			c.cluster.recorder.recordServed(c.instance.node.ID)
		}
		return
	}
}

func (c *caller) send(client *http.Client, to *instance, id string, fields ...string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+to.node.Address+"/"+c.kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return 0, "", err
	}
	req.Host = hostName
	c.cluster.recorder.recordSent(id, to)
	req.Header.Set(platform.HeaderRequestID, id)
	key := c.key
	if key == "" {
		key = stableKey
	}
	req.Header.Set(platform.HeaderKey, key)
	req.Header.Set(platform.HeaderTenant, "forged")
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	if c.kind == pathGrade {
		req.Header.Set(platform.HeaderTokens, "9000,20")
		req.Header.Set(platform.HeaderPrefix, soundSegments+",3:2700")
		if c.segments != "" {
			req.Header.Set(platform.HeaderPrefix, fmt.Sprintf(c.segments, xxhash.Sum64String(id)))
		}
	}
	for n := 0; n < len(fields); n += 2 {
		req.Header.Set(fields[n], fields[n+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body, strings.Contains(id, slowMark))
	return resp.StatusCode, string(body), err
}

// readBody reads a response, slowly if slow is set.
func readBody(body io.Reader, slow bool) ([]byte, error) {
	if !slow {
		return io.ReadAll(body)
	}
	var all []byte
	for {
		part, err := io.ReadAll(io.LimitReader(body, slowRead))
		all = append(all, part...)
		if err != nil || len(part) < slowRead {
			return all, err
		}
		time.Sleep(slowPause)
	}
}

// dialSlow connects with a small receive buffer.
func dialSlow(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		err = conn.(*net.TCPConn).SetReadBuffer(slowBuffer)
	}
	return conn, err
}

// checkBody compares the body of a complete response with the one that the request must get.
func (c *caller) checkBody(id, body string) {
	if body != responseText(id) {
		c.cluster.recorder.recordViolation("complete own responses: request %s got %.80q", id, body)
	}
}

// recordBroken records a request whose connection broke. An instance that stops gracefully must deliver the response
// that a replica has completed, unless the timeout of the route has passed, as beside a pause of the instance.
func (c *caller) recordBroken(to *instance, id string, status int, err error) {
	c.cluster.recorder.increment(&c.cluster.recorder.counts.Broken)
	_, sent := c.cluster.recorder.senderOf(id)
	if to.stoppingGracefully() && time.Since(sent) < routeTimeout && c.cluster.recorder.hasResponse(id) {
		c.cluster.recorder.recordViolation("drain: request %s had a complete response, but %s cut it off while stopping: status %d, %v",
			id, to.node.ID, status, err)
	}
}

// recordDenied records a request that was denied although each version of the routes has its route and its key.
func (c *caller) recordDenied(to *instance, id string, status int) {
	check := "configuration"
	if status == http.StatusUnauthorized {
		check = "keys"
	}
	c.cluster.recorder.recordViolation("%s: request %s to %s got %d, although each version has its route and its key", check, id,
		to.node.ID, status)
}

// startCallers starts callers of all kinds at an instance.
func (c *cluster) startCallers(to *instance) {
	for _, kind := range append([]string{pathOrder, pathLook, pathChat, pathGrade}, streamServices...) {
		for n := range callersPerKind {
			sender := &caller{cluster: c, instance: to, kind: kind, name: fmt.Sprintf("%s-%s-%s-%d", c.name, kind, to.node.ID, n)}
			c.callers.Go(func() { sender.run(c.stop) })
		}
	}
	for n := range slowCallers {
		sender := &caller{cluster: c, instance: to, kind: pathLook, name: fmt.Sprintf("%s%s%s-%d", c.name, slowMark, to.node.ID, n)}
		c.callers.Go(func() { sender.run(c.stop) })
	}
}

package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"rhubarbpoint/platform"
)

// Paths of the kinds of request.
const (
	pathOrder = "order" // may run once
	pathLook  = "look"  // may run again
	pathChat  = "chat"  // a stream
	pathGrade = "grade" // a stream with a long prompt, for replicas with stages
)

const (
	hostName = "h.example"
	zoneName = "region-1-a"
	// callerDeadline is how long callers wait.
	callerDeadline = 4 * time.Second
	callerPause    = 30 * time.Millisecond
	// callersEach is the number of callers of each kind at each instance.
	callersEach = 2
)

func kindOf(path string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return kind
}

// caller sends requests of one kind to one instance, one after another, on connections that it keeps until they end.
type caller struct {
	site *site
	to   *instance
	kind string
	name string
}

func (c *caller) run(stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerDeadline + time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callerPause):
			c.request(client, fmt.Sprintf("%s-%d", c.name, n), n%2 == 0)
		}
	}
}

// request sends a request, and a refused one again if it is patient.
func (c *caller) request(client *http.Client, id string, patient bool) {
	for try := 0; ; try++ {
		c.site.ledger.count(&c.site.ledger.total.Sent)
		last := !patient || try == 2
		status, body, err := c.send(client, id)
		switch {
		case err != nil:
			c.broken(id, status, err)
			return
		case status == http.StatusServiceUnavailable:
			c.site.ledger.refuse(id, last)
			if last {
				return
			}
			time.Sleep(callerPause)
			continue
		case status == http.StatusNotFound:
			c.site.ledger.violation("configuration: %s of %s got 404, no version lacks its route", id, c.to.node.ID)
		case status == http.StatusOK:
			c.check(id, body)
			c.site.ledger.serve(c.to.node.ID)
		}
		return
	}
}

func (c *caller) send(client *http.Client, id string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.to.node.Address+"/"+c.kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return 0, "", err
	}
	req.Host = hostName
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	if c.kind == pathGrade {
		req.Header.Set(platform.HeaderTokens, "9000,20")
		req.Header.Set(platform.HeaderPrefix, "1:2500,2:3800,3:2700")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// check compares a complete answer with the one that the request must get.
func (c *caller) check(id, body string) {
	want := whole(id)
	if c.kind == pathChat || c.kind == pathGrade {
		want = wholeStream(id)
	}
	if body != want {
		c.site.ledger.violation("whole and own answers: %s got %.80q", id, body)
	}
}

// broken takes the end of a connection. An instance that stops in order must deliver what a replica has answered.
func (c *caller) broken(id string, status int, err error) {
	c.site.ledger.count(&c.site.ledger.total.Broken)
	if c.to.stoppingInOrder() && c.site.ledger.wasAnswered(id) {
		c.site.ledger.violation("drain: %s was answered, but %s broke it off while stopping: status %d, %v", id, c.to.node.ID, status, err)
	}
}

// startCallers starts callers of all kinds at an instance.
func (s *site) startCallers(to *instance) {
	for _, kind := range []string{pathOrder, pathLook, pathChat, pathGrade} {
		for n := range callersEach {
			c := &caller{site: s, to: to, kind: kind, name: fmt.Sprintf("%s-%s-%s-%d", s.name, kind, to.node.ID, n)}
			s.load.Go(func() { c.run(s.stop) })
		}
	}
}

package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"rhubarbpoint/platform"
)

const (
	// takeUps is the number of times that a caller sends further requests for a stream that broke off.
	takeUps = 6
	// streamDeadline is how long the caller of a stream waits, over all its requests, and minTimeLeft the time that it needs
	// for another one.
	streamDeadline = 8 * time.Second
	minTimeLeft    = 300 * time.Millisecond
)

// playStream asks for a stream and, when it breaks off, takes it up again at any instance, as the platform's callers do: it
// names the last event and the request that brought the first one. Without any event it begins again.
func (c *caller) playStream(client *http.Client, id string) {
	recorder := c.cluster.recorder
	recorder.increment(&recorder.counts.Streams)
	random := c.cluster.randomFor(id)
	again := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: streamDeadline}
	var stream callerStream
	var sent []string
	end := time.Now().Add(streamDeadline)
	for attempt := 0; attempt <= takeUps && time.Until(end) > minTimeLeft; attempt++ {
		request, to, sender := id, c.instance, client
		if attempt > 0 {
			request, to, sender = fmt.Sprintf("%s-again-%d", id, attempt), c.cluster.randomInstance(random), again
		}
		fields := []string{platform.HeaderDeadline, fmt.Sprint(time.Until(end).Milliseconds())}
		takesUp := len(stream.events) > 0
		if takesUp {
			fields = append(fields, platform.HeaderLastEvent, fmt.Sprint(len(stream.events)), platform.HeaderResumes, stream.first)
		}
		recorder.increment(&recorder.counts.Sent)
		endTry := func(bool) {}
		if attempt == 0 {
			endTry = c.cluster.firstTry(to)
		}
		status, body, err := c.send(sender, to, request, fields...)
		endTry(err == nil && status == http.StatusOK)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			time.Sleep(callerPause)
			continue
		}
		midEvent := takesUp && recorder.brokeInEvent(sent...)
		sent = append(sent, request)
		if takesUp {
			recorder.increment(&recorder.counts.TakenUp)
		}
		if midEvent {
			recorder.increment(&recorder.counts.MidEventTakenUp)
		}
		if err != nil {
			c.recordBroken(to, request, status, err)
		}
		switch status {
		case http.StatusOK:
			if c.addResponse(&stream, to, request, body, err, takesUp) {
				if midEvent && err == nil {
					recorder.increment(&recorder.counts.MidEventWentOn)
				}
				return
			}
		case http.StatusServiceUnavailable:
			if err == nil {
				recorder.recordRefusal(request, true)
			}
		case http.StatusNotFound, http.StatusUnauthorized:
			c.recordDenied(to, request, status)
			return
		}
		time.Sleep(callerPause)
	}
}

// addResponse checks a response with events, and reports whether the stream is over for its caller.
func (c *caller) addResponse(stream *callerStream, to *instance, request, body string, err error, takesUp bool) bool {
	recorder := c.cluster.recorder
	violation := stream.add(request, to.node.ID, body)
	if violation == "" && err == nil {
		violation = stream.checkEnd(body, recorder.mayBeShort(request))
	}
	if violation != "" {
		recorder.recordViolation("%s", violation)
		return true
	}
	if err != nil {
		recorder.increment(&recorder.counts.StreamsBroken)
		return len(stream.events) == streamEvents
	}
	recorder.recordServed(to.node.ID)
	if recorder.brokeInEvent(request) {
		recorder.increment(&recorder.counts.MidEventContinued)
	}
	if takesUp {
		recorder.increment(&recorder.counts.WentOn)
	}
	return true
}

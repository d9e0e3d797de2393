package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"rhubarbpoint/platform"
)

// takeUps is the number of times that a caller takes a broken stream up again.
const takeUps = 3

// parsedEvent is one whole event of a stream as its caller got it.
type parsedEvent struct {
	id                         int
	request, service, software string
}

// parseStream returns the whole events of a stream.
func parseStream(body string) []parsedEvent {
	var events []parsedEvent
	for text := range strings.SplitAfterSeq(body, "\n\n") {
		var e parsedEvent
		if n, _ := fmt.Sscanf(text, "id: %d\ndata: %s\nsoftware: %s %s\n\n", &e.id, &e.request, &e.service, &e.software); n == 4 && strings.HasSuffix(text, "\n\n") {
			events = append(events, e)
		}
	}
	return events
}

// checkStream checks the events that a caller has got for a complete stream, with one or more requests.
func (c *caller) checkStream(events []parsedEvent, requests ...string) {
	recorder := c.cluster.recorder
	if len(events) != streamEvents {
		recorder.recordViolation("complete own responses: requests %v got %d of %d events", requests, len(events), streamEvents)
		return
	}
	versions := make(map[string]string) // by service
	for n, e := range events {
		if e.id != n+1 || !strings.Contains(strings.Join(requests, " ")+" ", e.request+" ") {
			recorder.recordViolation("complete own responses: requests %v got event %d of request %s as event %d", requests, e.id, e.request, n+1)
			return
		}
		if version, found := versions[e.service]; found && version != e.software {
			recorder.recordViolation("one version: requests %v got events of %s %s and %s", requests, e.service, version, e.software)
			return
		}
		versions[e.service] = e.software
	}
}

// takeUp takes a stream up again that broke off, at any instance, as the platform's callers do: it names the last event and the
// request that brought the first one.
func (c *caller) takeUp(first, body string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerDeadline}
	requests, events := []string{first}, parseStream(body)
	for attempt := range takeUps {
		if len(events) == 0 || len(events) == streamEvents {
			return
		}
		to := c.cluster.randomInstance(rand.New(rand.NewPCG(rand.Uint64(), 0)))
		id := fmt.Sprintf("%s-again-%d", first, attempt)
		c.cluster.recorder.increment(&c.cluster.recorder.counts.TakenUp)
		status, rest, err := c.send(client, to, id, platform.HeaderLastEvent, fmt.Sprint(events[len(events)-1].id), platform.HeaderResumes, first)
		if status == http.StatusOK {
			requests, events = append(requests, id), append(events, parseStream(rest)...)
			if err == nil {
				c.cluster.recorder.increment(&c.cluster.recorder.counts.WentOn)
				c.checkStream(events, requests...)
				return
			}
		}
		time.Sleep(callerPause)
	}
}

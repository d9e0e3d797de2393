package soak

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// streamEvents is the number of events of a stream.
	streamEvents = 10
	// paddingBytes is the length of the last line of the first event; it grows with each.
	paddingBytes = 20
)

// parsedEvent is one whole event of a stream as its caller got it.
type parsedEvent struct {
	id                                  int
	request, service, software, replica string
}

// text is the event as a replica writes it. It tells who wrote it for which request.
func (e *parsedEvent) text() string {
	return fmt.Sprintf("id: %d\ndata: %s\nsoftware: %s %s %s\ntext: %s\n\n", e.id, e.request, e.service, e.software, e.replica,
		strings.Repeat("x", e.id*paddingBytes))
}

// parseEvent parses a whole event, and reports whether it is one that a replica has written.
func parseEvent(text string) (parsedEvent, bool) {
	var e parsedEvent
	n, _ := fmt.Sscanf(text, "id: %d\ndata: %s\nsoftware: %s %s %s\n", &e.id, &e.request, &e.service, &e.software, &e.replica)
	return e, n == 5 && e.text() == text
}

// callerStream is what a caller has got of a stream, with one request or several. It is checked whether or not the stream
// is complete.
type callerStream struct {
	// requests are the requests that the caller sent for it, with the instances that got them.
	requests []string
	// first is the request that brought the first event.
	first  string
	events []parsedEvent
}

// add adds the body of the response to a request. It returns what must not happen in a stream, or "".
func (s *callerStream) add(request, instance, body string) string {
	s.requests = append(s.requests, request+"@"+instance)
	for {
		text, rest, whole := strings.Cut(body, "\n\n")
		if !whole {
			return s.checkRest(request, body)
		}
		body = rest
		e, valid := parseEvent(text + "\n\n")
		switch {
		case !valid:
			return fmt.Sprintf("order: %v got %.300q after event %d", s.requests, text, len(s.events))
		case e.request != request:
			return fmt.Sprintf("order: %v got an event of request %s", s.requests, e.request)
		case e.id != len(s.events)+1:
			return fmt.Sprintf("order: %v got event %d of %s after event %d", s.requests, e.id, e.replica, len(s.events))
		}
		if n := slices.IndexFunc(s.events, func(other parsedEvent) bool { return other.service == e.service && other.software != e.software }); n >= 0 {
			other := &s.events[n]
			return fmt.Sprintf("one version: %v got event %d of %s %s from %s and event %d of %s from %s", s.requests, other.id, other.service,
				other.software, other.replica, e.id, e.software, e.replica)
		}
		if len(s.events) == 0 {
			s.first = request
		}
		s.events = append(s.events, e)
	}
}

// checkRest checks what follows the last whole event of a response: nothing, or the beginning of the next event.
func (s *callerStream) checkRest(request, rest string) string {
	next := fmt.Sprintf("id: %d\ndata: %s\nsoftware: ", len(s.events)+1, request)
	if strings.HasPrefix(next, rest) || strings.HasPrefix(rest, next) {
		return ""
	}
	return fmt.Sprintf("order: %v got %.300q after event %d", s.requests, rest, len(s.events))
}

// checkEnd checks a stream whose last response has ended in order.
func (s *callerStream) checkEnd(body string, mayBeShort bool) string {
	switch {
	case body != "" && !strings.HasSuffix(body, "\n\n"):
		return fmt.Sprintf("order: %v ended as complete inside event %d", s.requests, len(s.events)+1)
	case len(s.events) != streamEvents && !mayBeShort:
		return fmt.Sprintf("order: %v ended as complete after %d of %d events", s.requests, len(s.events), streamEvents)
	}
	return ""
}

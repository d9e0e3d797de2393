package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"rhubarbpoint/platform"
)

// Places in which a replica breaks a stream off.
const (
	breakInHead        = "in the head"
	breakAfterHead     = "after the head"
	breakInChunkHeader = "in a chunk header"
	breakInEvent       = "in an event"
	breakBetweenEvents = "between events"
	breakBeforeEnd     = "before the end"
)

// breakPlaces are all of them.
var breakPlaces = []string{breakInHead, breakAfterHead, breakInChunkHeader, breakInEvent, breakBetweenEvents, breakBeforeEnd}

// breakShare is one in how many streams a replica breaks off at all times, faultyBreakShare while a fault acts on it.
const (
	breakShare       = 6
	faultyBreakShare = 2
)

// breakOff is how a replica breaks a stream off: before an event, or inside it at a share of its bytes.
type breakOff struct {
	place   string
	framing framing
	// reset closes the connection by a reset, not in order.
	reset bool
	event int
	at    float64
}

// newBreakOff draws one.
func newBreakOff(random *rand.Rand, f framing, first int) *breakOff {
	b := &breakOff{
		place: breakPlaces[random.IntN(len(breakPlaces))], framing: f, reset: random.IntN(3) == 0,
		event: first + random.IntN(max(1, streamEvents+1-first)), at: random.Float64(),
	}
	if b.place == breakInChunkHeader && f != chunked {
		b.place = breakInEvent
	}
	if b.place == breakBeforeEnd {
		if b.framing != chunked {
			b.place = breakBetweenEvents
		} else {
			b.event = streamEvents + 1
		}
	}
	return b
}

// whole reports whether the end marks that of a response without length.
func (b *breakOff) whole() bool {
	return b.framing == withoutLength && !b.reset && (b.place == breakAfterHead || b.place == breakBetweenEvents)
}

func (b *breakOff) String() string {
	way := "in order"
	if b.reset {
		way = "by reset"
	}
	return fmt.Sprintf("%s, %s, %s", b.place, b.framing, way)
}

// run writes the response up to the place, event by event, and closes the connection.
func (b *breakOff) run(w http.ResponseWriter, first int, event func(int) string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() {
		if tcp, ok := conn.(interface{ SetLinger(int) error }); ok && b.reset {
			tcp.SetLinger(0)
		}
		conn.Close()
	}()
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Type: text/event-stream\r\n", platform.HeaderRequestID,
		w.Header().Get(platform.HeaderRequestID), platform.HeaderSignature)
	switch b.framing {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case withLength:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", streamLength(first, event))
	}
	head.WriteString("\r\n")
	if b.place == breakInHead {
		writePart(conn, head.String(), b.at)
		return
	}
	if _, err := conn.Write([]byte(head.String())); err != nil || b.place == breakAfterHead {
		time.Sleep(workTime)
		return
	}
	for n := first; n < b.event; n++ {
		if _, err := conn.Write([]byte(b.block(event(n)))); err != nil {
			return
		}
		time.Sleep(streamPause)
	}
	switch b.place {
	case breakInChunkHeader:
		writePart(conn, fmt.Sprintf("%x\r\n", len(event(b.event))), b.at)
	case breakInEvent:
		writePart(conn, b.block(event(b.event)), b.at)
	}
}

// block is an event with the framing of the response.
func (b *breakOff) block(event string) string {
	if b.framing != chunked {
		return event
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// writePart writes a share of a text: at least one byte, and not all of it.
func writePart(conn net.Conn, text string, share float64) {
	_, _ = conn.Write([]byte(text[:1+int(share*float64(len(text)-1))]))
}

// streamLength is the length of a stream that begins with an event.
func streamLength(first int, event func(int) string) int {
	length := 0
	for n := first; n <= streamEvents; n++ {
		length += len(event(n))
	}
	return length
}

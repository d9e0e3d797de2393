package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// dialect is a minimal dialect: a response with the field Mark is authentic, and Not-Run means that the request did not
// run.
type dialect struct{ relay.Dialect }

func (dialect) AttemptHeader(call *relay.Call, _ *relay.Attempt, _ time.Time) http.Header {
	h := call.Header.Clone()
	h.Set("Id", call.ID)
	return h
}

func (dialect) ParseResponse(_ int, h http.Header) relay.ResponseInfo {
	return relay.ResponseInfo{
		NotRun: h.Get("Not-Run") != "", Authentic: h.Get("Mark") != "", RequestID: h.Get("Id"),
		Unidentified: h.Get("Id") == "", Closing: h.Get("Connection") == "close",
	}
}

// replica responds to each request that it reads with the next of its responses, sent verbatim. ID in a response stands
// for the request's ID. The prefix EARLY sends the response before the request body is read. The suffix |CLOSE closes
// the connection after the response, |RESET resets it, and |SILENT keeps it open without sending more.
type replica struct {
	listener  net.Listener
	responses chan string
	conns     atomic.Int32
	requests  atomic.Int32
	bodies    chan string
}

func newReplica(t *testing.T, responses ...string) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &replica{listener: l, responses: make(chan string, 16), bodies: make(chan string, 16)}
	for _, resp := range responses {
		r.responses <- resp
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.conns.Add(1)
			go r.serve(c.(*net.TCPConn))
		}
	}()
	return r
}

func (r *replica) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.requests.Add(1)
		resp := <-r.responses
		early := strings.HasPrefix(resp, "EARLY")
		if !early {
			body, _ := io.ReadAll(req.Body)
			r.bodies <- string(body)
		}
		resp = strings.TrimPrefix(strings.ReplaceAll(resp, "ID", req.Header.Get("Id")), "EARLY")
		text, end, _ := strings.Cut(resp, "|")
		io.WriteString(c, text)
		switch end {
		case "CLOSE":
			return
		case "RESET":
			c.SetLinger(0)
			return
		case "SILENT":
			io.Copy(io.Discard, c)
			return
		}
		if early {
			body, _ := io.ReadAll(req.Body)
			r.bodies <- string(body)
		}
	}
}

// send makes one attempt to send a request to the replica.
func (r *replica) send(ctx context.Context, pool *relay.Pool, id, body string) (*relay.Exchange, error) {
	call := &relay.Call{ID: id, Method: "POST", Target: "/p?q=1", Host: "h.example", Header: http.Header{}, Body: []byte(body)}
	attempt := &relay.Attempt{Replica: &upstream.Replica{ID: "r", Address: r.listener.Addr().String()}, LastEventID: -1}
	return relay.Send(ctx, pool, dialect{}, call, attempt, false)
}

// roundTrip sends a request and returns the complete body of the response.
func (r *replica) roundTrip(t *testing.T, pool *relay.Pool, id string) (string, error) {
	x, err := r.send(t.Context(), pool, id, "")
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := x.ReadBody()
	return string(body), err
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nMark: m\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

const header = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\n"

// Guards against a response that is passed on although it is truncated, malformed, unsigned or for another request.
func TestOnlyCompleteMatchingResponsesAreAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     error
	}{
		"cut":              {header + "Content-Length: 9\r\n\r\nhalf|CLOSE", relay.ErrIncompleteResponse},
		"truncated chunk":  {header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n|CLOSE", relay.ErrIncompleteResponse},
		"not HTTP":         {"\x16\x03\x01garbage\r\n\r\n|CLOSE", relay.ErrIncompleteResponse},
		"nothing":          {"|CLOSE", relay.ErrIncompleteResponse},
		"reset":            {"|RESET", relay.ErrIncompleteResponse},
		"no length, reset": {header + "\r\nperhaps all|RESET", relay.ErrIncompleteResponse},
		"status 000":       {"HTTP/1.1 000 None\r\nId: ID\r\nMark: m\r\nContent-Length: 2\r\n\r\nok|SILENT", relay.ErrIncompleteResponse},
		"000, then 200":    {"HTTP/1.1 000 None\r\nId: ID\r\nMark: m\r\n\r\n" + header + "Content-Length: 2\r\n\r\nok", relay.ErrIncompleteResponse},
		"status 099":       {"HTTP/1.1 099 None\r\nId: ID\r\nMark: m\r\nContent-Length: 0\r\n\r\n|SILENT", relay.ErrIncompleteResponse},
		"status 600":       {"HTTP/1.1 600 None\r\nId: ID\r\nMark: m\r\nContent-Length: 2\r\n\r\nok", relay.ErrIncompleteResponse},
		"other protocol":   {"HTTP/1.1 101 Switching\r\nId: ID\r\nMark: m\r\n\r\n" + header + "Content-Length: 2\r\n\r\nok", relay.ErrIncompleteResponse},
		"no signature":     {"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok", relay.ErrResponseMismatch},
		"other requests":   {strings.Repeat(response("x", "old"), 3), relay.ErrResponseMismatch},
		"not run":          {"HTTP/1.1 503 No\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", relay.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newReplica(t, c.response)
			sent := time.Now()
			_, err := r.roundTrip(t, relay.NewPool(nil), "1")
			g.Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%v", err)
			g.Expect(time.Since(sent)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}

// Guards against a late second response that is taken for the response to the next request, or makes that request fail.
func TestLateSecondResponseIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, response("ID", "first"), response("1", "late")+response("ID", "second"), response("ID", "third"))
	g.Expect(r.roundTrip(t, pool, "1")).To(gomega.Equal("first"))
	g.Expect(r.roundTrip(t, pool, "2")).To(gomega.Equal("second"))
	g.Expect(r.roundTrip(t, pool, "3")).To(gomega.Equal("third"))
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2), "the connection of the late response is not reused")
}

// Guards against a request that runs and is reported as not run, because its replica repeats an earlier refusal on a kept
// connection, with the ID of the earlier request or without one.
func TestRepeatedRefusalIsNoResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	for name, repeated := range map[string]string{"with ID": refusal + "Id: 1\r\n\r\n", "without ID": refusal + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			pool := relay.NewPool(nil)
			r := newReplica(t, refusal+"Id: ID\r\n\r\n", repeated+response("ID", "second"), response("ID", "third"))
			_, err := r.roundTrip(t, pool, "1")
			g.Expect(errors.Is(err, relay.ErrRefused)).To(gomega.BeTrue(), "%v", err)
			g.Expect(r.roundTrip(t, pool, "2")).To(gomega.Equal("second"))
			g.Expect(r.roundTrip(t, pool, "3")).To(gomega.Equal("third"))
			g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2), "the connection of the repeated refusal is not reused")
		})
	}
}

// Guards against a request that is left without a response by a replica that does not repeat the request's ID.
func TestResponseWithoutIDOnANewConnectionIsAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	const anonymous = "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 2\r\n\r\nok"
	r := newReplica(t, anonymous, anonymous)
	for _, id := range []string{"1", "2"} {
		g.Expect(r.roundTrip(t, pool, id)).To(gomega.Equal("ok"))
	}
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2), "the second response could not be told from an extra one")
}

// Guards against bytes after a complete response that are taken for the next response.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, response("ID", "first")+response("2", "forged"), response("ID", "second"))
	g.Expect(r.roundTrip(t, pool, "1")).To(gomega.Equal("first"))
	time.Sleep(20 * time.Millisecond)
	g.Expect(r.roundTrip(t, pool, "2")).To(gomega.Equal("second"))
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against a replica that responds before it has read the request body and then takes the next request for the
// rest of the body.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, "EARLY"+response("ID", "early"), response("ID", "second"))
	x, err := r.send(t.Context(), pool, "1", strings.Repeat("x", 32<<20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(x.ReadBody()).To(gomega.BeEquivalentTo("early"))
	x.Close()
	g.Expect(r.roundTrip(t, pool, "2")).To(gomega.Equal("second"))
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against a new connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, response("ID", "a"), response("ID", "b"), response("ID", "c"))
	for i := range 3 {
		_, err := r.roundTrip(t, pool, strconv.Itoa(i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against an automatic retry when the replica closes a reused connection: the request may have run.
func TestNoAutomaticRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, response("ID", "first"), "|CLOSE", response("ID", "third"))
	g.Expect(r.roundTrip(t, pool, "1")).To(gomega.Equal("first"))
	_, err := r.roundTrip(t, pool, "2")
	g.Expect(errors.Is(err, relay.ErrIncompleteResponse)).To(gomega.BeTrue(), "%v", err)
	g.Expect(r.requests.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against a replica that continues to work on a request after the caller has disconnected.
func TestContextEndClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newReplica(t, "|SILENT")
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := r.send(ctx, relay.NewPool(nil), "1", "")
	g.Expect(errors.Is(err, relay.ErrRequestEnded)).To(gomega.BeTrue(), "%v", err)
	g.Expect(errors.Is(err, relay.ErrNotSent)).To(gomega.BeFalse(), "%v", err)
}

// Guards against a refused connection that is reported as a request that may have run.
func TestConnectionRefusedIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newReplica(t)
	r.listener.Close()
	_, err := r.roundTrip(t, relay.NewPool(nil), "1")
	g.Expect(errors.Is(err, relay.ErrNotSent)).To(gomega.BeTrue(), "%v", err)
}

// Guards against a response to HEAD that is taken for truncated because it has neither a length nor a body.
func TestHeadResponseNeedsNoLength(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newReplica(t, "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\n\r\n")
	call := &relay.Call{ID: "1", Method: http.MethodHead, Target: "/p", Host: "h.example", Header: http.Header{}}
	attempt := &relay.Attempt{Replica: &upstream.Replica{ID: "r", Address: r.listener.Addr().String()}, LastEventID: -1}
	x, err := relay.Send(t.Context(), relay.NewPool(nil), dialect{}, call, attempt, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer x.Close()
	g.Expect(x.Delimited()).To(gomega.BeTrue())
	g.Expect(x.ReadBody()).To(gomega.BeEmpty())
}

// Guards against a reset response without length that looks complete, because the write of the request's body met the
// reset first and the read after it only sees the end of the connection.
func TestResetDuringTheRequestBodyIsNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 10 {
		r := newReplica(t, "EARLY"+header+"\r\npart|RESET")
		x, err := r.send(t.Context(), relay.NewPool(nil), "1", strings.Repeat("x", 8<<20))
		if err == nil {
			_, err = x.ReadBody()
			x.Close()
		}
		g.Expect(errors.Is(err, relay.ErrIncompleteResponse)).To(gomega.BeTrue(), "%v", err)
	}
}

// Guards against a whole response without length that is refused because the request had a large body.
func TestResponseWithoutLengthAfterALargeBodyIsComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 10 {
		r := newReplica(t, header+"\r\nwhole|CLOSE")
		x, err := r.send(t.Context(), relay.NewPool(nil), "1", strings.Repeat("x", 1<<20))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(x.ReadBody()).To(gomega.BeEquivalentTo("whole"))
		x.Close()
	}
}

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

// dialect is a wire for tests: an answer is authentic with the field Mark, and Not-Run says that it did not run.
type dialect struct{ relay.Dialect }

func (dialect) AttemptHeader(call *relay.Call, _ *relay.Attempt, _ time.Time) http.Header {
	h := call.Header.Clone()
	h.Set("Id", call.ID)
	return h
}

func (dialect) ParseResponse(_ int, h http.Header) relay.ResponseInfo {
	return relay.ResponseInfo{
		NotRun: h.Get("Not-Run") != "", Authentic: h.Get("Mark") != "", RequestID: h.Get("Id"),
		Closing: h.Get("Connection") == "close",
	}
}

// replica answers each request that it reads with the next of its answers, byte by byte as given. ID stands for the
// request's ID. An answer that ends in CLOSE or RESET ends the connection.
type replica struct {
	listener net.Listener
	answers  chan string
	conns    atomic.Int32
	requests atomic.Int32
	bodies   chan string
}

func newReplica(t *testing.T, answers ...string) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &replica{listener: l, answers: make(chan string, 16), bodies: make(chan string, 16)}
	for _, a := range answers {
		r.answers <- a
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
		answer := <-r.answers
		early := strings.HasPrefix(answer, "EARLY")
		if !early {
			body, _ := io.ReadAll(req.Body)
			r.bodies <- string(body)
		}
		answer = strings.TrimPrefix(strings.ReplaceAll(answer, "ID", req.Header.Get("Id")), "EARLY")
		text, end, _ := strings.Cut(answer, "|")
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

func (r *replica) send(ctx context.Context, pool *relay.Pool, id, body string) (*relay.Exchange, error) {
	call := &relay.Call{ID: id, Method: "POST", Target: "/p?q=1", Host: "h.example", Header: http.Header{}, Body: []byte(body)}
	leg := &relay.Attempt{Replica: &upstream.Replica{ID: "r", Address: r.listener.Addr().String()}, LastEventID: -1}
	return relay.Send(ctx, pool, dialect{}, call, leg, false)
}

func (r *replica) whole(t *testing.T, pool *relay.Pool, id string) (string, error) {
	x, err := r.send(t.Context(), pool, id, "")
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := x.ReadBody()
	return string(body), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nMark: m\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

const head = "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\n"

// Guards against an answer that is passed on although it is cut, spoiled, unmarked or another request's.
func TestOnlyAWholeAnswerToTheRequestCounts(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   error
	}{
		"cut":                {head + "Content-Length: 9\r\n\r\nhalf|CLOSE", relay.ErrIncompleteResponse},
		"cut chunk":          {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n|CLOSE", relay.ErrIncompleteResponse},
		"no HTTP":            {"\x16\x03\x01garbage\r\n\r\n|CLOSE", relay.ErrIncompleteResponse},
		"nothing":            {"|CLOSE", relay.ErrIncompleteResponse},
		"reset":              {"|RESET", relay.ErrIncompleteResponse},
		"unframed and reset": {head + "\r\nperhaps all|RESET", relay.ErrIncompleteResponse},
		"no mark":            {"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok", relay.ErrResponseMismatch},
		"others only":        {strings.Repeat(answer("x", "old"), 3), relay.ErrResponseMismatch},
		"not run":            {"HTTP/1.1 503 No\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", relay.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newReplica(t, c.answer)
			_, err := r.whole(t, relay.NewPool(nil), "1")
			g.Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%v", err)
		})
	}
}

// Guards against a late second answer that is taken for the answer of the next request, or makes it fail.
func TestALateSecondAnswerIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, answer("ID", "first"), answer("1", "late")+answer("ID", "second"), answer("ID", "third"))
	g.Expect(r.whole(t, pool, "1")).To(gomega.Equal("first"))
	g.Expect(r.whole(t, pool, "2")).To(gomega.Equal("second"))
	g.Expect(r.whole(t, pool, "3")).To(gomega.Equal("third"))
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2), "the connection of the late answer is not used again")
}

// Guards against bytes after a complete answer that are taken for the next one.
func TestAConnectionWithUnaskedBytesIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, answer("ID", "first")+answer("2", "forged"), answer("ID", "second"))
	g.Expect(r.whole(t, pool, "1")).To(gomega.Equal("first"))
	time.Sleep(20 * time.Millisecond)
	g.Expect(r.whole(t, pool, "2")).To(gomega.Equal("second"))
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against a replica that answers before it has read the body and takes the next request for the rest of it.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, "EARLY"+answer("ID", "early"), answer("ID", "second"))
	x, err := r.send(t.Context(), pool, "1", strings.Repeat("x", 32<<20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(x.ReadBody()).To(gomega.BeEquivalentTo("early"))
	x.Close()
	g.Expect(r.whole(t, pool, "2")).To(gomega.Equal("second"))
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against connections that are opened for each request.
func TestConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, answer("ID", "a"), answer("ID", "b"), answer("ID", "c"))
	for i := range 3 {
		_, err := r.whole(t, pool, strconv.Itoa(i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(r.conns.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against a request that is sent again by itself on a connection that the replica has closed meanwhile: it may
// have run.
func TestNothingIsSentAgainByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := relay.NewPool(nil)
	r := newReplica(t, answer("ID", "first"), "|CLOSE", answer("ID", "third"))
	g.Expect(r.whole(t, pool, "1")).To(gomega.Equal("first"))
	_, err := r.whole(t, pool, "2")
	g.Expect(errors.Is(err, relay.ErrIncompleteResponse)).To(gomega.BeTrue(), "%v", err)
	g.Expect(r.requests.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against a replica that goes on working after the caller has left.
func TestTheEndOfTheRequestClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newReplica(t, "|SILENT")
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := r.send(ctx, relay.NewPool(nil), "1", "")
	g.Expect(errors.Is(err, relay.ErrRequestEnded)).To(gomega.BeTrue(), "%v", err)
	g.Expect(errors.Is(err, relay.ErrNotSent)).To(gomega.BeFalse(), "%v", err)
}

// Guards against a refused connection that is reported as a request that may have run.
func TestAReplicaThatIsGoneGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newReplica(t)
	r.listener.Close()
	_, err := r.whole(t, relay.NewPool(nil), "1")
	g.Expect(errors.Is(err, relay.ErrNotSent)).To(gomega.BeTrue(), "%v", err)
}

// Guards against an answer to HEAD that is taken for cut, because it has neither a length nor a body.
func TestAnAnswerToHeadNeedsNoLength(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newReplica(t, "HTTP/1.1 200 OK\r\nId: ID\r\nMark: m\r\n\r\n")
	call := &relay.Call{ID: "1", Method: http.MethodHead, Target: "/p", Host: "h.example", Header: http.Header{}}
	leg := &relay.Attempt{Replica: &upstream.Replica{ID: "r", Address: r.listener.Addr().String()}, LastEventID: -1}
	x, err := relay.Send(t.Context(), relay.NewPool(nil), dialect{}, call, leg, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer x.Close()
	g.Expect(x.Delimited()).To(gomega.BeTrue())
	g.Expect(x.ReadBody()).To(gomega.BeEmpty())
}

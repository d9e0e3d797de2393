package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/internal/endless"
	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

const (
	// endlessReplicas is the number of faulty replicas that send at the same time.
	endlessReplicas = 100
	// endlessDeadline is the deadline of the requests; they must fail long before it.
	endlessDeadline = 60 * time.Second
	// maxHeapGrowth is the memory that the design allows an instance at the size of two years.
	maxHeapGrowth = 64 << 20
)

// endlessPool returns a pool whose connections, in memory, end in replicas that send prefix and then repeat block until
// the connection is closed.
func endlessPool(prefix, block string, replicas *sync.WaitGroup) *relay.Pool {
	return relay.NewPool(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		replicas.Go(func() { endless.Respond(far, prefix, block) })
		return near, nil
	})
}

// peakHeap samples the heap until stop is closed and returns the largest size.
func peakHeap(stop <-chan struct{}) uint64 {
	var stats runtime.MemStats
	var peak uint64
	for {
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-stop:
			return peak
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards against an instance that runs out of memory, or holds requests until their deadline, because replicas send
// bytes that are no response and do not end.
func TestEndlessBytesFailAtOnceInLittleMemory(t *testing.T) {
	const chunked = header + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ prefix, block string }{
		"header lines":              {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"header line":               {"HTTP/1.1 200 OK\r\nName: ", "x"},
		"continued header line":     {"HTTP/1.1 200 OK\r\nName: x\r\n", " y\r\n"},
		"status line":               {"HTTP/1.1 200 ", "x"},
		"no HTTP":                   {"", "\x00"},
		"line feeds":                {"", "\n"},
		"informational responses":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"large informational heads": {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"},
		"body without a length":     {header + "\r\n", "x"},
		"body of chunks":            {chunked, "100\r\n" + strings.Repeat("x", 256) + "\r\n"},
		"chunk of any size":         {chunked + "7fffffffffffffff\r\n", "x"},
		"chunk extension":           {chunked + "4;", "x"},
		"trailers":                  {chunked + "0\r\n", "Name: value\r\n"},
		"announced body":            {header + "Content-Length: 9000000000000000\r\n\r\n", "x"},
		"body of a refusal":         {"HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\n\r\n", "x"},
		"other request's body":      {"HTTP/1.1 200 OK\r\nId: 2\r\nMark: m\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			stop, peak := make(chan struct{}), make(chan uint64, 1)
			go func() { peak <- peakHeap(stop) }()
			var replicas, calls sync.WaitGroup
			pool := endlessPool(strings.ReplaceAll(c.prefix, "ID", "1"), c.block, &replicas)
			results := make(chan error, endlessReplicas)
			for range endlessReplicas {
				replica := &upstream.Replica{ID: "r", Address: "192.0.2.1:1"}
				calls.Go(func() {
					call := &relay.Call{ID: "1", Method: "POST", Target: "/p", Host: "h.example", Header: http.Header{}}
					x, err := relay.Send(ctx, pool, dialect{}, call, &relay.Attempt{Replica: replica, LastEventID: -1}, false)
					if err == nil {
						_, err = x.ReadBody()
						x.Close()
					}
					results <- err
				})
			}
			calls.Wait()
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "the requests ended only at their deadline")
			replicas.Wait() // each connection is closed
			close(stop)
			for range endlessReplicas {
				err := <-results
				if name == "body of a refusal" {
					g.Expect(errors.Is(err, relay.ErrRefused)).To(gomega.BeTrue(), "%v", err)
				} else {
					g.Expect(errors.Is(err, relay.ErrIncompleteResponse)).To(gomega.BeTrue(), "%v", err)
				}
			}
			growth := int64(<-peak) - int64(before.HeapAlloc)
			t.Logf("heap grew by %.1f MB beside %d replicas", float64(growth)/(1<<20), endlessReplicas)
			g.Expect(growth).To(gomega.BeNumerically("<", maxHeapGrowth))
		})
	}
}

// Guards against a response head that arrives byte by byte and holds the request until its deadline.
func TestTricklingHeadFails(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nName: "); err == nil; {
			time.Sleep(50 * time.Millisecond)
			_, err = c.Write([]byte("x"))
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
	defer cancel()
	call := &relay.Call{ID: "1", Method: "GET", Target: "/p", Host: "h.example", Header: http.Header{}}
	replica := &upstream.Replica{ID: "r", Address: l.Addr().String()}
	_, err = relay.Send(ctx, relay.NewPool(nil), dialect{}, call, &relay.Attempt{Replica: replica, LastEventID: -1}, false)
	g.Expect(errors.Is(err, relay.ErrIncompleteResponse)).To(gomega.BeTrue(), "%v", err)
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
}

// Guards against a time limit for heads that starts before the first byte: a queued request has no response for long.
func TestLateHeadIsAccepted(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
		time.Sleep(3500 * time.Millisecond)
		io.WriteString(c, response("1", "late"))
		io.Copy(io.Discard, c)
	}()
	call := &relay.Call{ID: "1", Method: "GET", Target: "/p", Host: "h.example", Header: http.Header{}}
	replica := &upstream.Replica{ID: "r", Address: l.Addr().String()}
	x, err := relay.Send(t.Context(), relay.NewPool(nil), dialect{}, call, &relay.Attempt{Replica: replica, LastEventID: -1}, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer x.Close()
	g.Expect(x.ReadBody()).To(gomega.BeEquivalentTo("late"))
}

// Guards against the body of a response to another request that is cut at a size limit, so that bytes from its middle
// are taken for this request's response.
func TestBodyOfAnotherResponseIsNotParsed(t *testing.T) {
	g := gomega.NewWithT(t)
	forged := response("1", "forged")
	body := strings.Repeat("x", 16<<20) + forged
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				io.WriteString(c, response("2", body))
				io.Copy(io.Discard, c)
			}()
		}
	}()
	call := &relay.Call{ID: "1", Method: "GET", Target: "/p", Host: "h.example", Header: http.Header{}}
	replica := &upstream.Replica{ID: "r", Address: l.Addr().String()}
	_, err = relay.Send(t.Context(), relay.NewPool(nil), dialect{}, call, &relay.Attempt{Replica: replica, LastEventID: -1}, false)
	g.Expect(errors.Is(err, relay.ErrResponseMismatch)).To(gomega.BeTrue(), "%v", err)
	g.Expect(conns.Load()).To(gomega.BeEquivalentTo(1))
}

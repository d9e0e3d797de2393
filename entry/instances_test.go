package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/claim"
	"rhubarbpoint/entry"
	standin "rhubarbpoint/internal/standin/engine"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/suspect"
)

// Guards against a crashing request that every instance counts from zero, while engines restart and other requests run.
func TestInstancesShareSuspects(t *testing.T) {
	tables := make([]*suspect.Table, 3)
	for i := range tables {
		tables[i] = suspect.New(suspect.Options{Self: fmt.Sprint("i", i), Publish: func(s *peerpb.Suspicion) {
			for j, other := range tables {
				if j != i {
					other.Merge(time.Now(), s)
				}
			}
		}})
	}
	inFleet(t, 4, func(f *fleet) { f.opts.Suspects = tables[0] }, func(f *fleet) {
		var crashes atomic.Int32
		var run func(i int)
		run = func(i int) {
			e := f.doc.Models.Engines[i]
			s := standin.New(standin.Options{ID: e.ID, Step: tokenInterval, Crash: func() {
				crashes.Add(1)
				f.net.Kill(e.Address)
				time.Sleep(time.Duration(i%2) * time.Second) // some have restarted before they are probed
				run(i)
			}})
			s.SetFaults(standin.Faults{CrashMarker: "poison"})
			go s.Server().Serve(f.net.Listen(e.Address))
		}
		for i, e := range f.doc.Models.Engines {
			f.net.Kill(e.Address)
			run(i)
		}
		for i, table := range tables[1:] {
			opts := f.opts
			opts.Suspects = table
			go entry.NewHTTPServer(entry.NewServer(opts)).Serve(f.net.Listen(fmt.Sprintf("10.0.0.%d:80", i+2)))
		}
		wg := f.chatMany(12, 500)
		for i := range 9 {
			body := `{"model":"small","messages":[{"role":"user","content":"poison"}]}`
			req, _ := http.NewRequest("POST", fmt.Sprintf("http://10.0.0.%d:80/v1/chat/completions", i%3+1), strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+key)
			req.Header.Set("Request-Deadline", "1000")
			resp, err := f.client.Do(req)
			f.Expect(err).NotTo(gomega.HaveOccurred())
			resp.Body.Close()
			f.Expect(resp.StatusCode).NotTo(gomega.Equal(http.StatusOK))
		}
		wg.Wait()
		f.Expect(crashes.Load()).To(gomega.Equal(int32(3)))
	})
}

// Guards against an idempotent request that waits for a silent replica although another could answer.
func TestSilentReplicaIsReplaced(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		f.startOrderReplicas()
		f.net.Kill("10.2.0.1:80")
		silent := f.net.Listen("10.2.0.1:80")
		go func() {
			for {
				conn, err := silent.Accept()
				if err != nil {
					return
				}
				go func(conn net.Conn) { conn.Read(make([]byte, 4096)) }(conn)
			}
		}()
		for range 4 {
			r := f.do("GET", "/services/shop/stock/17", nil)
			f.Expect(r.status).To(gomega.Equal(http.StatusOK))
			f.Expect(r.took).To(gomega.BeNumerically("<", 6*time.Second))
		}
	})
}

// blockingRunner runs no request and ignores the end of its context.
type blockingRunner struct{ release chan struct{} }

func (r blockingRunner) Run(_ context.Context, _ string, _ claim.Fingerprint, _ claim.SendFunc) (*claim.Response, error) {
	<-r.release
	return nil, &claim.Error{Code: "stuck", Run: claim.RunUnknown}
}

// Guards against an instance that never stops because a request does not end.
func TestDrainIsBounded(t *testing.T) {
	var runner blockingRunner
	inFleet(t, 1, func(f *fleet) { runner.release = make(chan struct{}); f.opts.Orders = runner }, func(f *fleet) {
		conn, err := f.net.Dial(f.context(), "tcp", entryAddr)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		fmt.Fprintf(conn, "POST /services/shop/bookings HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\n"+
			"Idempotency-Key: %s\r\nContent-Length: 0\r\n\r\n", key, idempotencyKey)
		time.Sleep(time.Second)
		started := time.Now()
		f.Expect(f.httpServer.Drain(0, time.Hour)).NotTo(gomega.Succeed())
		f.Expect(time.Since(started)).To(gomega.BeNumerically("~", 130*time.Second, 10*time.Second))
		close(runner.release)
	})
}

package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/upstream"
)

// Guards against requests without an answer at the end of the grace period, and against late ones that are passed on.
func TestRequestsAtTheEndOfAPlannedStopGetAnAnswer(t *testing.T) {
	inRoutedFleet(t, func(s *routedFleet) {
		var arrived atomic.Int64
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			hang(w, r)
		})
		drained := make(chan error, 1)
		results := make(chan *callResult, 10)
		for range 5 {
			go func() { results <- s.call("/order/a") }()
		}
		time.Sleep(100 * time.Millisecond)
		go func() { drained <- s.httpServer.Drain(500*time.Millisecond, time.Second) }()
		time.Sleep(700 * time.Millisecond)
		late := s.call("/order/a")
		s.Expect([]any{late.err, late.status}).To(gomega.Equal([]any{nil, http.StatusServiceUnavailable}))
		for range 5 {
			r := <-results
			s.Expect(r.err).NotTo(gomega.HaveOccurred())
			s.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
			s.Expect(r.took).To(gomega.BeNumerically("<", 1600*time.Millisecond))
		}
		s.Expect(<-drained).To(gomega.HaveOccurred())
		s.Expect(arrived.Load()).To(gomega.BeEquivalentTo(5))
	})
}

// Guards against a graceful shutdown that ends a request before its deadline although there is time.
func TestDrainWaitsForTheLongestDeadline(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		const tokens = int(118 * time.Second / tokenInterval)
		answered := make(chan string, 1)
		go func() {
			body := fmt.Sprintf(`{"model":"small","max_tokens":%d,"messages":[{"role":"user","content":"m"}]}`, tokens)
			req, _ := http.NewRequest(http.MethodPost, "http://"+entryAddr+"/v1/chat/completions", strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+key)
			req.Header.Set("Request-Deadline", "119900")
			resp, err := f.client.Do(req)
			if err != nil {
				answered <- err.Error()
				return
			}
			defer resp.Body.Close()
			data, _ := io.ReadAll(resp.Body)
			answered <- string(data)
		}()
		time.Sleep(100 * time.Millisecond)
		f.drain(0)
		f.Expect(<-answered).To(gomega.ContainSubstring(fmt.Sprintf(`"completion_tokens":%d`, tokens)))
	})
}

package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/internal/endless"
	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

// endlessReplica adds a replica that sends prefix and then repeats block until its connection is closed.
func (s *routedFleet) endlessReplica(service, prefix, block string) {
	addr := "10.9.9.9:80"
	go endless.Serve(s.net.Listen(addr), prefix, block)
	s.replicas.Put(upstream.Replica{ID: "endless", Service: service, Address: addr, Zone: "z"})
}

// Guards against callers that wait until their deadline for a replica whose response does not end, and against an
// answer that says that such a request has not run.
func TestEndlessResponseIsBadGateway(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\n" + platform.HeaderSignature + ": signed\r\n\r\n"
	for name, c := range map[string]struct{ path, prefix, block string }{
		"head":  {"/order/x", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"body":  {"/order/x", signed, "x"},
		"event": {"/grade/x", signed, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			inRoutedFleet(t, func(s *routedFleet) {
				service := "plain"
				if name == "event" {
					service = "model"
				}
				s.endlessReplica(service, c.prefix, c.block)
				result := s.call(c.path)
				s.Expect(result.err).NotTo(gomega.HaveOccurred())
				s.Expect(result.status).To(gomega.Equal(http.StatusBadGateway))
				s.Expect(result.took).To(gomega.BeNumerically("<", time.Second))
			})
		})
	}
}

package entry_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

// drainTime is the shortest time of a deployment after which a leaving replica must get no requests.
const drainTime = 2500 * time.Millisecond

// Guards against requests to a replica that has said in a response that it is leaving, while the store still lists it as
// ready or cannot be reached for long.
func TestReplicaThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter){
		"success": func(w http.ResponseWriter) { writeEvents(w, 1, 2) },
		"failure": func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
		"refusal": func(w http.ResponseWriter) {
			w.Header().Set(platform.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"broken off": func(w http.ResponseWriter) {
			writeEvents(w, 1, 1)
			breakConnection(w)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inRoutedFleet(t, func(s *routedFleet) {
				var leaving atomic.Bool
				arrivals := map[string]*atomic.Int64{"plain": {}, "model": {}}
				for service, count := range arrivals {
					s.replica(service, upstream.Whole, func(w http.ResponseWriter, _ *http.Request) {
						count.Add(1)
						if leaving.Load() {
							w.Header().Set(platform.HeaderLeaving, "1")
							respond(w)
							return
						}
						writeEvents(w, 1, 2)
					})
				}
				listed := s.replicas.All()
				for _, service := range []string{"plain", "model"} {
					s.replica(service, upstream.Whole, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
				}
				callAll := func() {
					for _, path := range []string{"/order/1", "/look/1", "/chat/1", "/grade/1"} {
						s.call(path)
					}
				}
				for arrivals["plain"].Load() == 0 || arrivals["model"].Load() == 0 {
					callAll()
				}
				leaving.Store(true)
				for range 20 {
					callAll()
				}
				s.Expect(s.replicas.Available("plain")).To(gomega.HaveLen(1))
				s.Expect(s.replicas.Available("model")).To(gomega.HaveLen(1))
				time.Sleep(drainTime)
				before := arrivals["plain"].Load() + arrivals["model"].Load()
				for range 60 {
					for _, replica := range listed {
						s.replicas.Put(replica)
					}
					s.replicas.ExpireLeaving(time.Now())
					callAll()
					time.Sleep(time.Second)
				}
				s.Expect(arrivals["plain"].Load() + arrivals["model"].Load()).To(gomega.Equal(before))
			})
		})
	}
}

// Guards against a replica that is excluded because an earlier incarnation of it, or another replica at its address, has
// said that it is leaving, and against one that is excluded for good.
func TestOnlyTheLeavingIncarnationIsExcluded(t *testing.T) {
	inRoutedFleet(t, func(s *routedFleet) {
		var leaving, misdirected atomic.Bool
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) {
			if leaving.Load() {
				w.Header().Set(platform.HeaderLeaving, "1")
			}
			if misdirected.Load() {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			io.WriteString(w, "ok")
		})
		replica := s.replicas.All()[0]
		leaving.Store(true)
		misdirected.Store(true)
		s.call("/look/1")
		s.Expect(s.replicas.Available("plain")).To(gomega.HaveLen(1), "another replica has the address")
		misdirected.Store(false)
		s.Expect(s.call("/look/1").status).To(gomega.Equal(http.StatusOK))
		refused := s.call("/look/1")
		s.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(refused.header.Get(platform.HeaderRetryAfter)).NotTo(gomega.BeEmpty())
		s.Expect(refused.took).To(gomega.BeNumerically("<", 100*time.Millisecond))
		leaving.Store(false)
		replica.Born++
		s.replicas.Put(replica)
		s.Expect(s.call("/look/1").status).To(gomega.Equal(http.StatusOK))
		leaving.Store(true)
		s.call("/look/1")
		s.Expect(s.replicas.Available("plain")).To(gomega.BeEmpty())
		time.Sleep(11 * time.Minute)
		s.replicas.ExpireLeaving(time.Now())
		s.Expect(s.replicas.Available("plain")).To(gomega.HaveLen(1))
	})
}

package fleet_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"rhubarbpoint/internal/demo"
	"rhubarbpoint/internal/fleet"
)

// booking is one order and the outcome that its caller was told.
type booking struct {
	key      string
	complete bool
	notRun   bool
}

// book sends an order through one instance after another until it succeeds or is reported as not run.
func book(b *booking, nodes []*fleet.Node) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	for attempt := range 6 {
		status, run, err := demo.Order{Key: b.key}.Send(context.Background(), client, nodes[attempt%len(nodes)].Address)
		switch {
		case err != nil:
		case status < http.StatusBadRequest:
			b.complete = true
			return
		case run == "not_run":
			b.notRun = true
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// executions returns the number of executions by idempotency key, over all order services.
func executions(g *gomega.WithT, f *fleet.Fleet) map[string]int {
	total := make(map[string]int)
	for _, n := range f.Services {
		resp, err := http.Get("http://" + n.Address + "/executions")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var counts map[string]int
		err = json.NewDecoder(resp.Body).Decode(&counts)
		resp.Body.Close()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for key, n := range counts {
			total[key] += n
		}
	}
	return total
}

// bookMany sends orders, half of them before injectFault is called. It checks that no order was executed more than
// once, that each complete order was executed, and that no order was executed that was reported as not run. It returns
// the number of complete orders.
func bookMany(g *gomega.WithT, f *fleet.Fleet, count int, injectFault func()) int {
	bookings := make([]booking, count)
	var running sync.WaitGroup
	for i := range bookings {
		bookings[i].key = uuid.Must(uuid.NewV7()).String()
		nodes := append(append([]*fleet.Node{}, f.Entries[i%3:]...), f.Entries[:i%3]...)
		running.Go(func() { book(&bookings[i], nodes) })
		time.Sleep(10 * time.Millisecond)
		if i == count/2 {
			running.Go(injectFault)
		}
	}
	running.Wait()
	executed := executions(g, f)
	complete := 0
	for _, b := range bookings {
		g.Expect(executed[b.key]).To(gomega.BeNumerically("<=", 1), "key %s was executed more than once", b.key)
		if b.complete {
			complete++
			g.Expect(executed[b.key]).To(gomega.Equal(1), "the caller of key %s got a success response", b.key)
		}
		if b.notRun {
			g.Expect(executed[b.key]).To(gomega.Equal(0), "key %s was reported as not run", b.key)
		}
	}
	return complete
}

// Guards against an order that is executed twice, or after it was reported as not run, when the instance that forwards
// it is killed and its caller retries through other instances.
func TestOrdersSurviveKills(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	delay := map[string]int{"delay_millis": 300}
	g.Expect(f.Admin(context.Background(), f.Services[0], http.MethodPost, "/admin/faults", delay)).To(gomega.Succeed())
	complete := bookMany(g, f, 200, f.Entries[0].Kill)
	g.Expect(complete).To(gomega.BeNumerically(">", 100), "orders through the other instances continue")
}

// Guards against the same fault when the instance is paused for longer than its peers wait, and then resumes.
func TestOrdersSurvivePauses(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	complete := bookMany(g, f, 200, func() {
		f.Entries[0].Pause()
		time.Sleep(18 * time.Second)
		f.Entries[0].Resume()
	})
	g.Expect(complete).To(gomega.BeNumerically(">", 100), "orders through the other instances continue")
}

package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/demo"
	"rhubarbpoint/internal/fleet"
)

// openStreams starts streams of about three seconds through the given instances. The returned function waits for them
// and returns what was wrong with each.
func openStreams(count int, nodes ...*fleet.Node) (wait func() []string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var running sync.WaitGroup
	faults := make([]string, count)
	for i := range count {
		chat := demo.Chat{MaxTokens: 200, Messages: []engine.Message{{Role: "user", Content: fmt.Sprint("stream ", i)}}}
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), long)
			defer cancel()
			text, whole, status, err := chat.Send(ctx, client, nodes[i%len(nodes)].Address)
			if err != nil || !whole || text != chat.Want() {
				faults[i] = fmt.Sprintf("stream %d: whole %t, status %d, error %v", i, whole, status, err)
			}
		})
	}
	return func() []string {
		running.Wait()
		var found []string
		for _, f := range faults {
			if f != "" {
				found = append(found, f)
			}
		}
		return found
	}
}

// Guards against streams that are cut off by SIGTERM of the instance or of the engine that serves them.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	wait := openStreams(30, f.Entries...)
	time.Sleep(time.Second)
	f.Entries[0].Terminate()
	f.Engines[0].Terminate()
	g.Expect(wait()).To(gomega.BeEmpty())
	g.Expect(f.Entries[0].WaitExit(long)).To(gomega.Succeed(), "the instance reports a cut request")
	g.Expect(f.Ready(f.Entries[0])).To(gomega.BeFalse())
}

// Guards against answers that end or mix when the engine that generates them dies.
func TestEngineKill(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	wait := openStreams(30, f.Entries...)
	time.Sleep(time.Second)
	f.Engines[0].Kill()
	g.Expect(wait()).To(gomega.BeEmpty())
}

// Guards against answers that hang when the connections to an engine stop carrying data.
func TestSilentEngineConnections(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	wait := openStreams(30, f.Entries...)
	time.Sleep(time.Second)
	g.Expect(f.Admin(context.Background(), f.Engines[0], http.MethodPost, "/admin/silence", nil)).To(gomega.Succeed())
	g.Expect(wait()).To(gomega.BeEmpty())
}

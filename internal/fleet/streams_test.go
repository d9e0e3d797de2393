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
// and describes those that failed.
func openStreams(count int, nodes ...*fleet.Node) (wait func() []string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var running sync.WaitGroup
	failures := make([]string, count)
	for i := range count {
		chat := demo.Chat{MaxTokens: 200, Messages: []engine.Message{{Role: "user", Content: fmt.Sprint("stream ", i)}}}
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			text, complete, status, err := chat.Send(ctx, client, nodes[i%len(nodes)].Address)
			if err != nil || !complete || text != chat.Want() {
				failures[i] = fmt.Sprintf("stream %d: complete %t, status %d, error %v", i, complete, status, err)
			}
		})
	}
	return func() []string {
		running.Wait()
		var found []string
		for _, failure := range failures {
			if failure != "" {
				found = append(found, failure)
			}
		}
		return found
	}
}

// Guards against streams that are cut off when the instance or the engine that serves them gets SIGTERM.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	wait := openStreams(30, f.Entries...)
	time.Sleep(time.Second)
	f.Entries[0].Terminate()
	f.Engines[0].Terminate()
	g.Expect(wait()).To(gomega.BeEmpty())
	g.Expect(f.Entries[0].WaitExit(waitTimeout)).To(gomega.Succeed(), "an exit status other than 0 means that the instance cut off a request")
	g.Expect(f.Ready(f.Entries[0])).To(gomega.BeFalse())
}

// Guards against streams that are cut off or mixed up when the engine that generates them is killed.
func TestEngineKill(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	wait := openStreams(30, f.Entries...)
	time.Sleep(time.Second)
	f.Engines[0].Kill()
	g.Expect(wait()).To(gomega.BeEmpty())
}

// Guards against streams that hang when the connections to an engine stop carrying data.
func TestSilentEngineConnections(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	wait := openStreams(30, f.Entries...)
	time.Sleep(time.Second)
	g.Expect(f.Admin(context.Background(), f.Engines[0], http.MethodPost, "/admin/silence", nil)).To(gomega.Succeed())
	g.Expect(wait()).To(gomega.BeEmpty())
}

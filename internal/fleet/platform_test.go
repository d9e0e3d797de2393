package fleet_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"rhubarbpoint/authority"
	"rhubarbpoint/internal/demo"
	"rhubarbpoint/internal/fleet"
	"rhubarbpoint/operator/client"
)

// Guards against an outage of the platform that stops model requests, lets orders run without a claim, or keeps a new
// instance from starting.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	f.Entries[2].Kill()
	g.Expect(f.Entries[2].WaitExit(waitTimeout)).To(gomega.HaveOccurred())
	f.Platform.Pause()
	wait := openStreams(10, f.Entries[:2]...)
	order := demo.Order{Key: uuid.Must(uuid.NewV7()).String()}
	_, run, _ := order.Send(context.Background(), &http.Client{Timeout: waitTimeout}, f.Entries[0].Address)
	g.Expect(run).NotTo(gomega.Equal("not_run"), "without the store, the instance cannot know whether the order was run")
	g.Expect(wait()).To(gomega.BeEmpty())
	g.Expect(f.StartEntry(f.Entries[2])).To(gomega.Succeed())
	g.Expect(f.WaitReady(f.Entries[2])).To(gomega.Succeed(), "the instance gets the configuration document from a peer")
	f.Platform.Resume()
	g.Eventually(func() (string, error) {
		_, run, err := demo.Order{Key: uuid.Must(uuid.NewV7()).String()}.Send(context.Background(), http.DefaultClient, f.Entries[2].Address)
		return run, err
	}, waitTimeout, time.Second).Should(gomega.BeEmpty())
	for key, n := range executions(g, f) {
		g.Expect(n).To(gomega.Equal(1), key)
	}
}

// holderState returns what an instance says about the region's authority.
func holderState(n *fleet.Node) (authority.LeaseHolderDump, error) {
	state, err := client.New(n.Operator).State(context.Background(), "authority/holder")
	if err != nil {
		return authority.LeaseHolderDump{}, err
	}
	var dump map[string]authority.LeaseHolderDump
	err = json.Unmarshal(state, &dump)
	return dump["authority/holder"], err
}

// holders returns the instances that hold the region's authority, and the highest fencing token.
func holders(nodes []*fleet.Node) (found []*fleet.Node, fence int64) {
	for _, n := range nodes {
		if dump, err := holderState(n); err == nil && dump.Holding {
			found = append(found, n)
			fence = max(fence, dump.Fence)
		}
	}
	return found, fence
}

// Guards against two holders of one region's authority, and against a paused holder that considers itself the holder
// after its lease has expired.
func TestPausedHolderIsReplaced(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	var first []*fleet.Node
	var fence int64
	g.Eventually(func() int {
		first, fence = holders(f.Entries)
		return len(first)
	}, waitTimeout, time.Second).Should(gomega.Equal(1))
	first[0].Pause()
	var others []*fleet.Node
	for _, n := range f.Entries {
		if n != first[0] {
			others = append(others, n)
		}
	}
	g.Eventually(func() int64 {
		_, next := holders(others)
		return next
	}, waitTimeout, time.Second).Should(gomega.BeNumerically(">", fence), "another instance must become the holder with a higher fencing token")
	first[0].Resume()
	dump, err := holderState(first[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(dump.Holding).To(gomega.BeFalse(), "the lease has expired during the pause")
	g.Consistently(func() int {
		all, _ := holders(f.Entries)
		return len(all)
	}, 3*time.Second, 200*time.Millisecond).Should(gomega.Equal(1))
}

// Guards against a lost edit when two teams edit at the same time through different instances, and against a version
// that is not in force everywhere.
func TestConcurrentEdits(t *testing.T) {
	t.Parallel()
	g, f := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	now, err := client.New(f.Entries[0].Operator).Config(ctx, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	edits := []client.Edit{
		{Section: "callers", Base: now.Version, Content: []byte(`{"allow_unknown":true,"workspaces":[]}`)},
		{Section: "network", Base: now.Version, Content: []byte(`{"regions":[{"name":"region-a","zones":["region-a-1","region-a-2"]}]}`)},
	}
	versions := make(chan int64, len(edits))
	for i, e := range edits {
		go func() {
			accepted, err := client.New(f.Entries[i].Operator).Apply(ctx, e)
			if err != nil {
				versions <- 0
				return
			}
			versions <- accepted.Version
		}()
	}
	a, b := <-versions, <-versions
	g.Expect([]int64{a, b}).To(gomega.ConsistOf(now.Version+1, now.Version+2))
	rollout, err := client.New(f.Entries[2].Operator).Wait(ctx, now.Version+2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rollout.InForce).To(gomega.BeTrue())
	final, err := client.New(f.Entries[2].Operator).Config(ctx, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(final.Document)).To(gomega.ContainSubstring("region-a-2"))
	g.Expect(string(final.Document)).To(gomega.ContainSubstring(`workspaces`))
}

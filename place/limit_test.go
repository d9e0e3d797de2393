package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/place"
	"rhubarbpoint/upstream"
)

// limitedFleet is a number of instances that know the limit of one replica.
type limitedFleet struct {
	gomega.Gomega
	now       time.Time
	replica   *upstream.Replica
	balancers []*place.Balancer
	sent      []time.Time
}

func newLimitedFleet(t *testing.T, instances int, limit float64) *limitedFleet {
	f := &limitedFleet{Gomega: gomega.NewWithT(t), now: time.Unix(1_800_000_000, 0), replica: &upstream.Replica{ID: "i-1", Service: "plain", Region: "r0", Zone: "z0"}}
	var all []place.Instance
	for i := range instances {
		all = append(all, place.Instance{ID: fmt.Sprint("instance-", i), Region: fmt.Sprint("r", i%3), Zone: fmt.Sprint("z", i%6)})
	}
	for i, instance := range all {
		b := place.NewBalancer(place.Options{
			Self: instance.ID, Region: instance.Region, Zone: instance.Zone, Seed: uint64(i), Instances: func() []place.Instance { return all },
		})
		change := b.RecordLimit(f.now, f.now, f.replica, &limit)
		f.Expect(change).NotTo(gomega.BeNil())
		f.Expect(change.Instances).To(gomega.Equal(instances))
		f.balancers = append(f.balancers, b)
	}
	return f
}

// load lets all instances send as much as they may.
func (f *limitedFleet) load(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for _, b := range f.balancers {
			_, err := b.Choose(f.now, plain, []*upstream.Replica{f.replica}, newRequest(f.now, prompt(1, 1)))
			var busy *place.BusyError
			if errors.As(err, &busy) {
				f.Expect(busy.AtLimit).To(gomega.BeTrue())
				f.Expect(busy.Excess).To(gomega.BeNumerically(">", 0))
				continue
			}
			f.Expect(err).NotTo(gomega.HaveOccurred())
			b.RecordSend(f.now, f.replica, 0)
			b.RecordSendEnd(f.replica, 0)
			f.sent = append(f.sent, f.now)
		}
	}
}

// most returns the largest number of requests in a window.
func (f *limitedFleet) most(window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against instances that together exceed the limit of a replica, also after a pause, or leave most of it unused.
func TestInstancesKeepLimitTogether(t *testing.T) {
	const window = 4 * time.Second
	for _, instances := range []int{1, 9, 30, 300} {
		for _, limit := range []float64{0, 0.3, 2.5, 11, 34.8, 400} {
			t.Run(fmt.Sprint(instances, " instances, limit ", limit), func(t *testing.T) {
				f := newLimitedFleet(t, instances, limit)
				f.load(15 * time.Second)
				f.Expect(f.sent).NotTo(gomega.BeEmpty(), "a request must find out when the limit ends")
				f.Expect(len(f.sent)).To(gomega.BeNumerically(">=", min(limit, float64(20*instances))*15/2-1))
				f.now = f.now.Add(time.Minute)
				f.load(5 * time.Second)
				f.Expect(f.most(window)).To(gomega.BeNumerically("<=", 1.5*limit*window.Seconds()+5))
			})
		}
	}
}

// Guards against a limit that an overtaken response ends, and against one that lasts after the replica has dropped it.
func TestLimitEndsWithLaterResponse(t *testing.T) {
	limit := 1.0
	f := newLimitedFleet(t, 1, limit)
	b, later := f.balancers[0], f.now.Add(time.Second)
	f.Expect(b.RecordLimit(later, f.now.Add(-time.Millisecond), f.replica, nil)).To(gomega.BeNil())
	f.Expect(b.RecordLimit(later, later, f.replica, &limit)).To(gomega.BeNil(), "the same limit again")
	f.Expect(b.RecordLimit(later, later.Add(-time.Millisecond), f.replica, nil)).To(gomega.BeNil())
	f.Expect(b.RecordLimit(later, later, f.replica, nil)).To(gomega.Equal(&place.LimitChange{Ended: true}))
	f.now = later
	f.load(time.Second)
	f.Expect(f.sent).To(gomega.HaveLen(20))
}

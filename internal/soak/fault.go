package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/faultproxy"
	standin "rhubarbpoint/internal/standin/platform"
	"rhubarbpoint/upstream"
)

// fault is something that goes wrong for a time. play ends when the fault has.
type fault struct {
	name string
	play func(s *site, random *rand.Rand, length time.Duration)
}

// faults are all that a schedule draws from.
var faults = []fault{
	{"instance killed", func(s *site, random *rand.Rand, length time.Duration) {
		s.anyInstance(random).restart(func(i *instance) {
			i.node.Kill()
			_ = i.node.WaitExit(exitTime)
		}, length/4)
	}},
	{"instance stopped", func(s *site, random *rand.Rand, length time.Duration) {
		s.anyInstance(random).restart((*instance).stopInOrder, length/4)
	}},
	{"instance paused", func(s *site, random *rand.Rand, length time.Duration) {
		s.anyInstance(random).pauseFor(length)
	}},
	{"settings read again", func(s *site, random *rand.Rand, _ time.Duration) {
		s.anyInstance(random).alone(func(i *instance) { i.node.Signal(syscall.SIGHUP) })
	}},
	{"store down", store(func(length time.Duration) standin.Faults { return standin.Faults{Outage: standin.OutageRefuse} })},
	{"store hangs", store(func(length time.Duration) standin.Faults { return standin.Faults{Outage: standin.OutageHang} })},
	{"store slow", store(func(length time.Duration) standin.Faults { return standin.Faults{Delay: config.Duration(length / 8)} })},
	{"store loses answers", store(func(length time.Duration) standin.Faults { return standin.Faults{LoseResponse: 0.5} })},
	{"store executes late", store(func(length time.Duration) standin.Faults {
		return standin.Faults{LateShare: 0.5, Late: config.Duration(length)}
	})},
	{"store forgets", func(s *site, _ *rand.Rand, _ time.Duration) { s.admin(http.MethodPost, "/admin/forget", struct{}{}) }},
	{"links slow", links(func(l *faultproxy.Link, length time.Duration) { l.Set(faultproxy.Fault{Delay: length / 10}) })},
	{"links held towards the other side", links(func(l *faultproxy.Link, _ time.Duration) { l.Set(faultproxy.Fault{HoldToTarget: true}) })},
	{"links held from the other side", links(func(l *faultproxy.Link, _ time.Duration) { l.Set(faultproxy.Fault{HoldFromTarget: true}) })},
	{"links cut", links(func(l *faultproxy.Link, _ time.Duration) {
		l.Set(faultproxy.Fault{HoldToTarget: true, HoldFromTarget: true, Refuse: true})
		l.Reset()
	})},
	{"links silent", links(func(l *faultproxy.Link, _ time.Duration) { l.Silence() })},
	{"replica crashes", func(s *site, random *rand.Rand, length time.Duration) {
		time.Sleep(length / 4)
		s.replaceReplica(s.anyReplica(random), false)
	}},
	{"replica leaves", func(s *site, random *rand.Rand, _ time.Duration) { s.replaceReplica(s.anyReplica(random), true) }},
	{"replica refuses", misbehaving(refuses)},
	{"replica loses answers", misbehaving(losesAnswers)},
	{"replica truncates answers", misbehaving(truncates)},
	{"replica adds bytes", misbehaving(addsBytes)},
	{"replica slow", misbehaving(slow)},
	{"replica links held", func(s *site, random *rand.Rand, length time.Duration) {
		r := s.anyReplica(random)
		r.link.Set(faultproxy.Fault{HoldFromTarget: true})
		time.Sleep(length)
		r.link.Set(faultproxy.Fault{})
	}},
	{"replica links reset", func(s *site, random *rand.Rand, _ time.Duration) { s.anyReplica(random).link.Reset() }},
	{"authority cut off", authority(func(i *instance) {
		link := i.linkTo(i.site.fleet.Platform.ID)
		link.Set(faultproxy.Fault{HoldToTarget: true, HoldFromTarget: true, Refuse: true})
		time.Sleep(authorityTime)
		link.Set(faultproxy.Fault{})
	})},
	{"authority paused", authority(func(i *instance) { i.pauseFor(authorityTime) })},
	{"stages lost", func(s *site, _ *rand.Rand, _ time.Duration) { s.loseStages() }},
	{"routes change", func(s *site, random *rand.Rand, _ time.Duration) { s.changeRoutes(1 + random.Int64N(4)) }},
	{"routes change quickly", func(s *site, random *rand.Rand, length time.Duration) {
		for range 6 {
			s.changeRoutes(1 + random.Int64N(4))
			time.Sleep(length / 10)
		}
	}},
}

// store makes the store misbehave for a time.
func store(f func(time.Duration) standin.Faults) func(*site, *rand.Rand, time.Duration) {
	return func(s *site, _ *rand.Rand, length time.Duration) {
		s.admin(http.MethodPut, "/admin/faults", f(length))
		time.Sleep(length)
		s.admin(http.MethodPut, "/admin/faults", standin.Faults{})
	}
}

// links makes all links of an instance misbehave for a time.
func links(set func(*faultproxy.Link, time.Duration)) func(*site, *rand.Rand, time.Duration) {
	return func(s *site, random *rand.Rand, length time.Duration) {
		list := s.anyInstance(random).allLinks()
		for _, l := range list {
			set(l, length)
		}
		time.Sleep(length)
		for _, l := range list {
			l.Set(faultproxy.Fault{})
		}
	}
}

func misbehaving(how misbehaviour) func(*site, *rand.Rand, time.Duration) {
	return func(s *site, random *rand.Rand, length time.Duration) {
		r := s.anyReplica(random)
		r.set(how)
		time.Sleep(length)
		r.set(well)
	}
}

func (s *site) anyInstance(random *rand.Rand) *instance {
	return s.instances[random.IntN(len(s.instances))]
}

func (s *site) anyReplica(random *rand.Rand) *replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[random.IntN(len(s.replicas))]
}

// loseStages puts model replicas back into the stage of their start, as a start anew under the same ID does.
func (s *site) loseStages() {
	s.mu.Lock()
	list := append([]*replica{}, s.replicas...)
	s.mu.Unlock()
	kept := false
	for _, r := range list {
		r.mu.Lock()
		changed := r.entry.Stage == upstream.Prefill && !r.busy && kept
		if kept = kept || r.entry.Stage == upstream.Prefill; changed {
			r.entry.Stage, r.entry.Born, r.sequence = upstream.Decode, time.Now().UnixMilli(), 0
		}
		r.mu.Unlock()
		if changed {
			r.list()
		}
	}
}

// authority stops the instance that gave the last order for longer than its authority lasts, while there are orders to
// give until a while after it is back.
func authority(stop func(*instance)) func(*site, *rand.Rand, time.Duration) {
	return func(s *site, random *rand.Rand, _ time.Duration) {
		holder := s.anyInstance(random)
		if name := s.ledger.lastHolder(); name != "" {
			for _, i := range s.instances {
				if i.node.ID == name {
					holder = i
				}
			}
		}
		var stopped sync.WaitGroup
		stopped.Go(func() { stop(holder) })
		for end := time.Now().Add(authorityTime + longestFault); time.Now().Before(end); time.Sleep(shortestFault) {
			s.loseStages()
		}
		stopped.Wait()
	}
}

// admin tells the store's stand-in to misbehave.
func (s *site) admin(method, path string, body any) {
	for range 5 {
		if s.fleet.Admin(s.ctx, s.fleet.Platform, method, path, body) == nil {
			return
		}
	}
	s.ledger.violation("soak: the store does not take %s", path)
}

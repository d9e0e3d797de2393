package simfleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbpoint/internal/simclock"
	"rhubarbpoint/stages"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Times between the parts of a deployment, one way.
const (
	zoneTrip   = time.Millisecond / 10
	otherTrip  = 900 * time.Microsecond
	regionTrip = 20 * time.Millisecond
	clientTrip = 3 * time.Millisecond
)

const (
	// lead is the time from the start of the instances to the first request, tail that after the last one.
	lead = 10 * time.Second
	tail = 20 * time.Second
	// discoveryLag is the time after which instances know of a change of a replica.
	discoveryLag = 500 * time.Millisecond
	// planInterval is the time between two looks at the stages, planStart that of the first one.
	planInterval = 500 * time.Millisecond
	planStart    = 3 * time.Second
)

// Sim is one play of a deployment under a policy. It is for one goroutine.
type Sim struct {
	simclock.Clock
	d         *Deployment
	policy    *Policy
	random    *rand.Rand
	services  map[string]*traffic.Service
	list      []*replica
	replicas  map[string]*replica
	instances [][]*instance // by zone
	ordered   map[upstream.Incarnation]time.Duration
	// seen are the shared parts that some replica has processed.
	seen   map[uint64]bool
	result *Result
}

// Run plays a deployment. The same arguments give the same result.
func Run(d *Deployment, policy Policy, seed uint64) *Result {
	s := &Sim{
		d: d, policy: &policy, random: rand.New(rand.NewPCG(seed, 0x17)), services: services(d),
		replicas: make(map[string]*replica), ordered: make(map[upstream.Incarnation]time.Duration), seen: make(map[uint64]bool),
		result: newResult(d, policy.Name),
	}
	s.build(seed)
	requests := generate(d, seed)
	for _, r := range requests {
		r.arrived += lead
		s.After(r.arrived, func() { s.try(r) })
	}
	for _, f := range d.Faults {
		s.schedule(f)
	}
	if !policy.FixedStages {
		s.After(planStart, s.plan)
	}
	s.After(lead, s.sample)
	s.AdvanceTo(lead + d.length() + tail)
	s.result.finish(s, requests)
	return s.result
}

func (s *Sim) build(seed uint64) {
	for n := range s.d.Services {
		service := &s.d.Services[n]
		for zone, z := range s.d.Zones {
			for i := range service.Replicas {
				r := &replica{sim: s, service: service, zone: zone, usual: 1, known: upstream.Replica{
					ID: fmt.Sprintf("%s-%s-%d", service.Name, z.Name, i), Service: service.Name, Region: z.Region, Zone: z.Name,
					Slots: service.Slots,
				}}
				if service.Engine != nil {
					r.known.Stage = s.firstStage(service, zone, i)
				}
				if n := len(service.Slowness); n > 0 {
					r.usual = service.Slowness[len(s.list)%n]
				}
				r.slow = r.usual
				r.start()
				s.list = append(s.list, r)
				s.replicas[r.known.ID] = r
			}
		}
	}
	number := 0
	for zone, z := range s.d.Zones {
		s.instances = append(s.instances, nil)
		for range z.Instances {
			s.instances[zone] = append(s.instances[zone], newInstance(s, zone, number, seed))
			number++
		}
	}
	s.publish()
}

// firstStage returns the stage that a replica starts in. The replicas in stage prefill are spread over the zones.
func (s *Sim) firstStage(service *Service, zone, i int) upstream.Stage {
	if s.policy.DecodeReplicas > 0 {
		if i < s.policy.DecodeReplicas {
			return upstream.Decode
		}
		return upstream.Prefill
	}
	number, share := float64(i*len(s.d.Zones)+zone), service.Engine.PrefillShare
	if int((number+1)*share) > int(number*share) {
		return upstream.Prefill
	}
	return upstream.Decode
}

// publish tells the instances what discovery knows.
func (s *Sim) publish() {
	known := make(map[string][]*upstream.Replica)
	for _, r := range s.list {
		if r.up {
			described := r.known
			known[r.known.Service] = append(known[r.known.Service], &described)
		}
	}
	for _, zone := range s.instances {
		for _, i := range zone {
			i.known = known
		}
	}
}

func (s *Sim) trip(a, b int) time.Duration {
	switch from, to := s.d.Zones[a], s.d.Zones[b]; {
	case a == b:
		return zoneTrip
	case from.Region == to.Region:
		return otherTrip
	}
	return regionTrip
}

// try sends a request to an instance in the caller's zone.
func (s *Sim) try(r *request) {
	if s.Now() >= r.deadline() {
		s.end(r, refused)
		return
	}
	r.tries++
	zone := s.instances[r.zone]
	i := zone[s.random.IntN(len(zone))]
	s.After(clientTrip, func() { i.handle(r) })
}

// refused has a caller come back or give up.
func (s *Sim) refused(r *request, pause time.Duration) {
	s.result.Refusals++
	r.refused++
	if r.tries > r.kind.CallerRetries {
		s.end(r, refused)
		return
	}
	s.After(pause, func() { s.try(r) })
}

func (s *Sim) end(r *request, how outcome) {
	if r.outcome == pending {
		r.outcome = how
	}
}

// schedule queues a fault.
func (s *Sim) schedule(f Fault) {
	var all []*replica
	for _, r := range s.list {
		if r.known.Service == f.Service {
			all = append(all, r)
		}
	}
	s.random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	hit := all[:max(1, int(f.Share*float64(len(all))))]
	s.After(lead+simclock.Seconds(f.At), func() {
		for _, r := range hit {
			if f.Kind == Slow {
				r.slow = r.usual * f.Factor
			} else {
				r.crash()
			}
		}
		s.After(discoveryLag, s.publish)
	})
	s.After(lead+simclock.Seconds(f.At+f.For), func() {
		for _, r := range hit {
			r.slow = r.usual
			if !r.up {
				r.known.Born = s.Time().UnixMilli()
				r.start()
			}
		}
		s.After(discoveryLag, s.publish)
	})
}

// plan orders the stages as the holder of the authority does.
func (s *Sim) plan() {
	const orderPause = 20 * time.Second
	defer s.After(planInterval, s.plan)
	known := s.instances[0][0].known
	for n := range s.d.Services {
		service := s.services[s.d.Services[n].Name]
		replicas := known[service.Name]
		room := stages.MaxConcurrentChanges(len(replicas))
		for _, r := range replicas {
			if s.replicas[r.ID].away {
				room--
			}
		}
		for _, change := range stages.Plan(service, replicas) {
			start := change.Replica.Incarnation()
			at, found := s.ordered[start]
			r := s.replicas[change.Replica.ID]
			if room <= 0 || found && s.Now()-at < orderPause || !r.up || r.away {
				continue
			}
			room--
			s.ordered[start] = s.Now()
			s.result.Orders++
			r.setStage(change.Stage)
			s.After(millis(r.engine().StageChangeTime)+discoveryLag, s.publish)
		}
	}
	s.publish()
}

// sampleInterval is the time between two points of the plots.
const sampleInterval = 250 * time.Millisecond

// sample notes the queues.
func (s *Sim) sample() {
	if s.Now() > lead+s.d.length() {
		return
	}
	waiting := 0
	for _, r := range s.list {
		waiting += len(r.queue)
	}
	s.result.Waiting = append(s.result.Waiting, waiting)
	s.After(sampleInterval, s.sample)
}

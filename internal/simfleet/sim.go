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

// One-way network latencies.
const (
	sameZoneLatency    = time.Millisecond / 10
	sameRegionLatency  = 900 * time.Microsecond
	crossRegionLatency = 20 * time.Millisecond
	callerLatency      = 3 * time.Millisecond
)

const (
	// leadTime is the time from the start of the instances to the first arrival, tailTime the time that is simulated after
	// the last one.
	leadTime = 10 * time.Second
	tailTime = 20 * time.Second
	// discoveryLag is the time until instances know of a change of a replica.
	discoveryLag = 500 * time.Millisecond
	// planInterval is the time between two plans of the stage assignment, planStart the time of the first plan.
	planInterval = 500 * time.Millisecond
	planStart    = 3 * time.Second
)

// Sim is a simulation of a deployment under a policy. It is not safe for concurrent use.
type Sim struct {
	simclock.Clock
	d         *Deployment
	policy    *Policy
	random    *rand.Rand
	services  map[string]*traffic.Service
	replicas  []*replica
	byID      map[string]*replica
	instances [][]*instance // by zone
	lastOrder map[upstream.Incarnation]time.Duration
	// seenSegments are the shared segments that some replica has processed.
	seenSegments map[uint64]bool
	result       *Result
}

// Run simulates a deployment. The same arguments give the same result.
func Run(d *Deployment, policy Policy, seed uint64) *Result {
	s := &Sim{
		d: d, policy: &policy, random: rand.New(rand.NewPCG(seed, 0x17)), services: trafficServices(d),
		byID: make(map[string]*replica), lastOrder: make(map[upstream.Incarnation]time.Duration), seenSegments: make(map[uint64]bool),
		result: newResult(d, policy.Name),
	}
	s.build(seed)
	requests := generate(d, seed)
	for _, r := range requests {
		r.arrived += leadTime
		s.After(r.arrived, func() { s.sendToInstance(r) })
	}
	for _, f := range d.Faults {
		s.scheduleFault(f)
	}
	if !policy.FixedStages {
		s.After(planStart, s.plan)
	}
	s.After(leadTime, s.sample)
	s.AdvanceTo(leadTime + d.length() + tailTime)
	s.result.finish(s, requests)
	return s.result
}

// build creates the replicas and the instances.
func (s *Sim) build(seed uint64) {
	for n := range s.d.Services {
		service := &s.d.Services[n]
		for zone, z := range s.d.Zones {
			for i := range service.Replicas {
				r := &replica{sim: s, service: service, zone: zone, baseSlowness: 1, info: upstream.Replica{
					ID: fmt.Sprintf("%s-%s-%d", service.Name, z.Name, i), Service: service.Name, Region: z.Region, Zone: z.Name,
					Slots: service.Slots,
				}}
				if service.Engine != nil {
					r.info.Stage = s.initialStage(service, zone, i)
				}
				if n := len(service.Slowness); n > 0 {
					r.baseSlowness = service.Slowness[len(s.replicas)%n]
				}
				r.slowness, r.slowdownSeed = r.baseSlowness, seed<<16+uint64(len(s.replicas))
				r.start()
				s.replicas = append(s.replicas, r)
				s.byID[r.info.ID] = r
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

// initialStage returns the stage that a replica starts in. Unless the policy sets the number of decode replicas, the
// replicas in stage prefill are spread over the zones.
func (s *Sim) initialStage(service *Service, zone, i int) upstream.Stage {
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

// publish updates the replicas that instances know to those that are up now.
func (s *Sim) publish() {
	known := make(map[string][]*upstream.Replica)
	for _, r := range s.replicas {
		if r.up {
			info := r.info
			known[r.info.Service] = append(known[r.info.Service], &info)
		}
	}
	for _, zone := range s.instances {
		for _, i := range zone {
			i.replicas = known
		}
	}
}

// latency returns the network latency between two zones.
func (s *Sim) latency(a, b int) time.Duration {
	switch from, to := s.d.Zones[a], s.d.Zones[b]; {
	case a == b:
		return sameZoneLatency
	case from.Region == to.Region:
		return sameRegionLatency
	}
	return crossRegionLatency
}

// sendToInstance sends a request to a random instance in the caller's zone. After the deadline the caller gives up.
func (s *Sim) sendToInstance(r *request) {
	if s.Now() >= r.deadline() {
		s.setOutcome(r, refused)
		return
	}
	r.tries++
	zone := s.instances[r.zone]
	i := zone[s.random.IntN(len(zone))]
	s.After(callerLatency, func() { i.handle(r) })
}

// handleRefusal schedules the caller's retry of a refused request, or ends the request if its retries are used up.
func (s *Sim) handleRefusal(r *request, retryAfter time.Duration) {
	s.result.Refusals++
	r.refusals++
	if r.tries > r.kind.CallerRetries {
		s.setOutcome(r, refused)
		return
	}
	s.After(retryAfter, func() { s.sendToInstance(r) })
}

// setOutcome sets the outcome of a request that has none yet.
func (s *Sim) setOutcome(r *request, o outcome) {
	if r.outcome == pending {
		r.outcome = o
	}
}

// scheduleFault schedules the start and the end of a fault, on replicas that it draws.
func (s *Sim) scheduleFault(f Fault) {
	var all []*replica
	for _, r := range s.replicas {
		if r.info.Service == f.Service {
			all = append(all, r)
		}
	}
	s.random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	affected := all[:max(1, int(f.Share*float64(len(all))))]
	s.After(leadTime+simclock.Seconds(f.At), func() {
		for _, r := range affected {
			if f.Kind == Slow {
				r.slowness = r.baseSlowness * f.Factor
			} else {
				r.crash()
			}
		}
		s.After(discoveryLag, s.publish)
	})
	s.After(leadTime+simclock.Seconds(f.At+f.For), func() {
		for _, r := range affected {
			r.slowness = r.baseSlowness
			if !r.up {
				r.info.Born = s.Time().UnixMilli()
				r.start()
			}
		}
		s.After(discoveryLag, s.publish)
	})
}

// plan orders changes of stage, as the lease holder does in the product.
func (s *Sim) plan() {
	const orderInterval = 20 * time.Second // between two orders to one incarnation of a replica
	defer s.After(planInterval, s.plan)
	known := s.instances[0][0].replicas
	for n := range s.d.Services {
		service := s.services[s.d.Services[n].Name]
		replicas := known[service.Name]
		allowed := stages.MaxConcurrentChanges(len(replicas))
		for _, r := range replicas {
			if s.byID[r.ID].changingStage {
				allowed--
			}
		}
		for _, change := range stages.Plan(service, replicas) {
			incarnation := change.Replica.Incarnation()
			last, found := s.lastOrder[incarnation]
			r := s.byID[change.Replica.ID]
			if allowed <= 0 || found && s.Now()-last < orderInterval || !r.up || r.changingStage {
				continue
			}
			allowed--
			s.lastOrder[incarnation] = s.Now()
			s.result.Orders++
			r.setStage(change.Stage)
			s.After(millis(r.engine().StageChangeTime)+discoveryLag, s.publish)
		}
	}
	s.publish()
}

// sampleInterval is the time between two samples of the queues, and the length of an interval of arrivals.
const sampleInterval = 250 * time.Millisecond

// sample records the number of waiting requests.
func (s *Sim) sample() {
	if s.Now() > leadTime+s.d.length() {
		return
	}
	waiting := 0
	for _, r := range s.replicas {
		waiting += len(r.queue)
	}
	s.result.Waiting = append(s.result.Waiting, waiting)
	s.After(sampleInterval, s.sample)
}

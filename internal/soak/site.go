package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/internal/fleet"
	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

// Services of a site. Plain kinds go to serviceA or serviceB, by the version of the routes.
const (
	serviceA     = "a"
	serviceB     = "b"
	serviceModel = "m"
)

// instances is the number of entry instances.
const instances = 3

// site is a fleet with its store, replicas, callers and links.
type site struct {
	// name tells the requests and replicas of this site from those of others on the machine, which may take over a port.
	name      string
	fleet     *fleet.Fleet
	ledger    *ledger
	operator  *operator
	instances []*instance
	stop      chan struct{}
	load      sync.WaitGroup
	cancel    context.CancelFunc
	// ctx is that of the whole soak.
	ctx context.Context

	mu       sync.Mutex
	replicas []*replica
	started  int   // replicas
	version  int64 // of the routes
}

// openSite starts all processes and waits until they serve.
func openSite(ctx context.Context, bin, dir string) (*site, error) {
	s := &site{ctx: ctx, name: uuid.NewString()[:8], ledger: newLedger(), stop: make(chan struct{})}
	byID := make(map[string]*instance)
	opts := fleet.Options{
		Bin: bin, Dir: dir, Regions: 1, EntriesPerRegion: instances, RoutesFromPlatform: true, DrainDelay: time.Second,
		Link: func(from, to, address string) (string, error) {
			i := byID[from]
			if i == nil {
				i = &instance{site: s, links: make(map[string]*faultproxy.Link)}
				byID[from] = i
			}
			return i.link(to, address)
		},
	}
	var err error
	if s.fleet, err = fleet.Start(ctx, opts); err != nil {
		return s, err
	}
	for _, n := range s.fleet.Entries {
		byID[n.ID].node = n
		s.instances = append(s.instances, byID[n.ID])
	}
	s.operator = newOperator(s.fleet.Platform.Address)
	ctx, s.cancel = context.WithCancel(ctx)
	go s.operator.run(ctx)
	for _, r := range []struct {
		service string
		stage   upstream.Stage
	}{
		{serviceA, upstream.Whole}, {serviceA, upstream.Whole}, {serviceA, upstream.Whole}, {serviceB, upstream.Whole},
		{serviceB, upstream.Whole}, {serviceModel, upstream.Prefill}, {serviceModel, upstream.Decode}, {serviceModel, upstream.Decode},
		{serviceModel, upstream.Decode},
	} {
		if err := s.addReplica(r.service, r.stage); err != nil {
			return s, err
		}
	}
	s.changeRoutes(1)
	for _, i := range s.instances {
		if err := s.fleet.WaitReady(i.node); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *site) close() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	if s.fleet != nil {
		s.fleet.Stop()
	}
	s.load.Wait()
	if s.cancel != nil {
		s.cancel()
	}
	for _, r := range s.replicas {
		r.crash()
	}
	for _, i := range s.instances {
		for _, l := range i.allLinks() {
			l.Close()
		}
	}
}

// addReplica starts a replica under a new ID.
func (s *site) addReplica(service string, stage upstream.Stage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	r, err := s.startReplica(fmt.Sprintf("i-%s-%d", s.name, s.started), service, stage)
	if err == nil {
		s.replicas = append(s.replicas, r)
	}
	return err
}

// replaceReplica ends a replica and starts another one of its service. A replica that leaves in order says so first.
func (s *site) replaceReplica(r *replica, inOrder bool) {
	if inOrder {
		r.mu.Lock()
		r.entry.Draining = true
		r.mu.Unlock()
		r.list()
		time.Sleep(drainTime)
	}
	r.crash()
	r.mu.Lock()
	first := r.entry.Stage
	if first == upstream.Prefill {
		first = upstream.Decode // as its stage was before the first order
	}
	service, key := r.entry.Service, platform.PrefixReplicas+r.entry.ID
	r.mu.Unlock()
	s.mu.Lock()
	for n, other := range s.replicas {
		if other == r {
			s.replicas = append(s.replicas[:n], s.replicas[n+1:]...)
			break
		}
	}
	s.mu.Unlock()
	s.operator.remove(key)
	if err := s.addReplica(service, first); err != nil {
		s.ledger.violation("soak: no new replica: %v", err)
	}
}

// drainTime is how long a replica that leaves in order goes on serving.
const drainTime = 3 * time.Second

// changeRoutes writes the next version of the routes.
func (s *site) changeRoutes(step int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += step
	service := serviceA
	if s.version%2 == 0 {
		service = serviceB
	}
	s.operator.routes(s.version, service)
}

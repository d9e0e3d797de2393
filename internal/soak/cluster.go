package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/internal/fleet"
	"rhubarbpoint/internal/soak/cuthook"
	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

// Services of a cluster. The routes of pathGrade go to serviceModel, the others to serviceA or serviceB, depending on
// the version of the routes.
const (
	serviceA     = "a"
	serviceB     = "b"
	serviceModel = "m"
)

// streamServices are services that only stream. Each has a route of its name, with one or two attempts, and replicas of one
// version until its first release.
var streamServices = []string{"s0", "s1", "s2", "s3"}

// streamReplicas is the number of replicas of each.
const streamReplicas = 3

// instances is the number of entry instances: more than follow the store, so that some follow it through others.
const instances = 5

// entryID returns the ID of an entry instance.
func entryID(n int) string { return fmt.Sprintf("entry-1-%d", n+1) }

// cluster is a fleet of entry instances under test with its store, replicas, callers and links.
type cluster struct {
	// name makes the IDs of requests and replicas differ from those of other clusters on the machine, which may get a
	// port that this cluster has used before.
	name      string
	seed      uint64
	dir       string
	fleet     *fleet.Fleet
	timeline  *timeline
	recorder  *recorder
	writer    *storeWriter
	instances []*instance
	marked    map[string]bool // the IDs of the instances that cuts from all replicas act on
	stop      chan struct{}
	callers   sync.WaitGroup
	// replacing are the replacements of replicas that crashed under a request.
	replacing sync.WaitGroup
	cancel    context.CancelFunc
	// ctx is the context of the whole soak.
	ctx context.Context

	// startMu is held while a process is started, as fleet is not safe for concurrent use.
	startMu sync.Mutex

	mu              sync.Mutex
	replicas        []*replica
	ended           []string // keys of replicas that have ended
	replicasStarted int
	releases        map[string]int // by service
	// cutCheck is the check of the cut from all replicas that lasts, or nil, and cutChecks those of the cuts that have ended.
	cutCheck      *cutCheck
	cutChecks     []*cutCheck
	routesVersion int64
}

// startCluster starts all processes and replicas, and waits until the instances are ready. The returned cluster must be
// closed, also after an error.
func startCluster(ctx context.Context, soak Options) (*cluster, error) {
	c := &cluster{
		dir: soak.Dir, marked: drawMarked(soak.Seed),
		ctx: ctx, name: uuid.NewString()[:8], seed: soak.Seed, recorder: newRecorder(), stop: make(chan struct{}), releases: make(map[string]int),
	}
	byID := make(map[string]*instance)
	opts := fleet.Options{
		EntryProgram: soak.Instance, Env: func(id string) []string { return []string{cuthook.PathEnv + "=" + c.cutFile(id)} },
		Bin: soak.Bin, Dir: soak.Dir, Regions: 1, EntriesPerRegion: instances, RoutesFromPlatform: true, DrainDelay: time.Second, RevokeWithin: revokeWithin, MemoryMB: memoryMB,
		Link: func(from, to, address string) (string, error) {
			i := byID[from]
			if i == nil {
				i = &instance{cluster: c, links: make(map[string]*faultproxy.Link)}
				byID[from] = i
			}
			return i.link(to, address)
		},
	}
	var err error
	if c.timeline, err = newTimeline(soak.Dir); err != nil {
		return nil, err
	}
	if c.fleet, err = fleet.Start(ctx, opts); err != nil {
		return c, err
	}
	for _, n := range c.fleet.Entries {
		byID[n.ID].node = n
		c.instances = append(c.instances, byID[n.ID])
	}
	c.writer = newStoreWriter(c.fleet.Platform.Address)
	c.recorder.revokedAt = c.writer.revokedAt
	ctx, c.cancel = context.WithCancel(ctx)
	go c.writer.run(ctx)
	if err := c.startReplicas(); err != nil {
		return c, err
	}
	c.changeRoutes(1)
	for _, i := range c.instances {
		if err := c.fleet.WaitReady(i.node); err != nil {
			return c, err
		}
	}
	return c, nil
}

// startReplicas starts the first replicas. Those of the services that do not only stream have two versions.
func (c *cluster) startReplicas() error {
	for n, r := range []struct {
		service string
		stage   upstream.Stage
	}{
		{serviceA, upstream.Whole}, {serviceA, upstream.Whole}, {serviceA, upstream.Whole}, {serviceB, upstream.Whole},
		{serviceB, upstream.Whole}, {serviceModel, upstream.Prefill}, {serviceModel, upstream.Decode}, {serviceModel, upstream.Decode},
		{serviceModel, upstream.Decode},
	} {
		c.releases[r.service] = 1
		if err := c.addReplica(r.service, versionName(min(n%3, 1)), r.stage); err != nil {
			return err
		}
	}
	for _, service := range streamServices {
		for range streamReplicas {
			if err := c.addReplica(service, versionName(0), upstream.Whole); err != nil {
				return err
			}
		}
	}
	return nil
}

func versionName(release int) string { return fmt.Sprintf("v%d", release+1) }

// randomFor returns random numbers that depend on the seed and on a name, from which the name of the cluster is left out.
func (c *cluster) randomFor(name string) *rand.Rand {
	return rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(strings.ReplaceAll(name, c.name, ""))))
}

func (c *cluster) close() {
	defer c.timeline.file.Close()
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	if c.fleet != nil {
		c.fleet.Stop()
	}
	c.callers.Wait()
	if c.cancel != nil {
		c.cancel()
	}
	for _, r := range c.replicas {
		r.crash()
	}
	for _, i := range c.instances {
		for _, l := range i.allLinks() {
			l.Close()
		}
	}
}

// addReplica starts a replica under a new ID.
func (c *cluster) addReplica(service, version string, stage upstream.Stage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicasStarted++
	r, err := c.startReplica(fmt.Sprintf("i-%s-%d", c.name, c.replicasStarted), service, version, stage)
	if err == nil {
		c.replicas = append(c.replicas, r)
	}
	return err
}

// replaceReplica ends a replica in the given way and starts another one of its service and version.
func (c *cluster) replaceReplica(r *replica, end func(*replica)) {
	if !c.endReplica(r, end) {
		return
	}
	r.mu.Lock()
	initialStage := r.entry.Stage
	if initialStage == upstream.Prefill {
		initialStage = upstream.Decode // its stage before the first order
	}
	service, version := r.entry.Service, r.entry.Version
	r.mu.Unlock()
	if err := c.addReplica(service, version, initialStage); err != nil {
		c.recorder.recordViolation("soak: cannot start a new replica: %v", err)
	}
}

// drain marks the replica as draining and waits while it continues to serve.
func (r *replica) drain() {
	r.mu.Lock()
	r.entry.Draining = true
	r.mu.Unlock()
	r.writeEntry()
	time.Sleep(drainTime)
}

// endReplica ends a replica in the given way and removes its entry. It reports false if another fault has ended it already.
func (c *cluster) endReplica(r *replica, end func(*replica)) bool {
	c.mu.Lock()
	n := slices.Index(c.replicas, r)
	if n >= 0 {
		c.replicas = slices.Delete(c.replicas, n, n+1)
	}
	c.mu.Unlock()
	if n < 0 {
		return false
	}
	c.timeline.Info("replica ends", "replica", r.entry.ID)
	end(r)
	key := platform.PrefixReplicas + r.entry.ID
	c.writer.remove(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = append(c.ended, key)
	return true
}

// expireEntries removes the entries of replicas that have ended again and again, as the users' platform does: a write that
// the store executes late would otherwise list a replica for good.
func (c *cluster) expireEntries(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(entryLifetime):
		}
		c.mu.Lock()
		ended := slices.Clone(c.ended)
		c.mu.Unlock()
		for _, key := range ended {
			c.writer.remove(key)
		}
	}
}

// entryLifetime is how long the entry of a replica that has ended may stay in the store.
const entryLifetime = 3 * time.Second

// drainTime is how long a replica that leaves gracefully continues to serve.
const drainTime = 3 * time.Second

// changeRoutes increases the version of the routes by step and writes them to the store. Odd versions send the routes
// other than pathGrade to serviceA, even ones to serviceB.
func (c *cluster) changeRoutes(step int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routesVersion += step
	service := serviceA
	if c.routesVersion%2 == 0 {
		service = serviceB
	}
	c.writer.putRoutes(c.routesVersion, service)
}

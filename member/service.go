package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbpoint/config"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

// Service runs the membership of one process. It is safe for concurrent use.
type Service struct {
	opts      Options
	stats     *stats
	jobs      jobs
	ctx       context.Context // ends with Run
	cancel    context.CancelFunc
	pushSlots chan struct{} // bounds the concurrent pushes

	mu               sync.Mutex
	ownRecord        *peerpb.Member
	table            *table
	presences        map[string]*presence
	idsByBeatHash    map[uint32][]string
	peers            map[string]*peerState
	upstreamsByBase  map[uint32]string    // by base hash of their load records
	droppedAddresses map[string]time.Time // peer addresses of dropped members, with the time of dropping
	listedAddresses  []string             // peer addresses of the instance list
	randomPeers      randomPeers
	ringCache        zoneRing
	probeInFlight    bool
	lastProbe        time.Time
	fetchInFlight    bool
	lastTick         time.Time
	generation       uint64 // incremented when the set of live or suspected members changes
	polledGeneration uint64 // generation at the last assignment of pollers
	polledDoc        *config.Document
	pollers          map[string]*poller
	lastSuspicionSeq uint64
	compressed       compressedDocument
}

var _ View = (*Service)(nil)

// New returns a Service that sends nothing before Run.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	s := &Service{
		opts: opts, stats: newStats(opts.Metrics), pushSlots: make(chan struct{}, maxConcurrentPushes),
		table: newTable(), presences: make(map[string]*presence), idsByBeatHash: make(map[uint32][]string),
		peers: make(map[string]*peerState), droppedAddresses: make(map[string]time.Time), pollers: make(map[string]*poller),
		upstreamsByBase: make(map[uint32]string),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.ownRecord = &peerpb.Member{
		Id: opts.ID, Seq: 1, Beat: 1, Region: opts.Region, Zone: opts.Zone, PeerAddress: opts.PeerAddress,
		OperatorAddress: opts.OperatorAddress, ConfigVersion: opts.Version(),
	}
	s.publishOwnRecord(time.Now())
	return s
}

// Register sets the handlers of the calls that the Service serves.
func (s *Service) Register(t *peer.Transport) {
	t.Handle(peer.KindHeartbeat, s.handleHeartbeat)
	t.Handle(peer.KindPush, s.handlePush)
	t.Handle(peer.KindFetchConfig, s.handleFetch)
}

// Run exchanges heartbeats, reads the instance list and polls engines until the context ends. It must be called only
// once.
func (s *Service) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.cancel)()
	if s.opts.Directory != nil {
		s.jobs.run(func() { s.readDirectory(ctx) })
	}
	for {
		s.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			s.cancel()
			s.stopPollers()
			s.jobs.wait()
			return ctx.Err()
		case <-time.After(jitter(heartbeatInterval)):
		}
	}
}

// Leave announces to the peers that this process is leaving. Run continues until its context ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.ownRecord.Leaving = true
	s.ownRecord.Seq++
	s.publishOwnRecord(time.Now())
	record := s.table.entries[key{kindMember, s.opts.ID}].msg
	s.mu.Unlock()
	batch := &peerpb.Records{}
	appendRecord(batch, record)
	s.pushAll(ctx, batch, "", true)
}

// Self implements View.
func (s *Service) Self() string { return s.opts.ID }

// Live implements View. Suspected members count as live, leaving ones do not.
func (s *Service) Live() []*peerpb.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live(func(*peerpb.Member, *presence) bool { return true })
}

// Suspected reports whether a member is unknown or dropped, or its beat has not advanced for SuspectAfter, in another
// zone for suspectOtherZoneAfter.
func (s *Service) Suspected(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.presences[id]
	return p == nil || p.dropped || s.suspected(id, p, time.Now())
}

// Address returns the peer address of an instance. It can be used as peer.Options.Address.
func (s *Service) Address(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.entries[key{kindMember, id}]; e != nil {
		address := e.msg.(*peerpb.Member).GetPeerAddress()
		return address, address != ""
	}
	return "", false
}

// live returns the members that are neither dropped nor leaving and that match, sorted by ID. The lock is held.
func (s *Service) live(match func(*peerpb.Member, *presence) bool) []*peerpb.Member {
	var list []*peerpb.Member
	for id, p := range s.presences {
		if p.dropped {
			continue
		}
		if e := s.table.entries[key{kindMember, id}]; e != nil {
			if m := e.msg.(*peerpb.Member); !m.GetLeaving() && match(m, p) {
				list = append(list, m)
			}
		}
	}
	slices.SortFunc(list, func(a, b *peerpb.Member) int { return strings.Compare(a.GetId(), b.GetId()) })
	return list
}

func (s *Service) suspected(id string, p *presence, now time.Time) bool {
	return id != s.opts.ID && now.Sub(p.lastBeatAt) >= s.suspectAfter(id)
}

// suspectAfter returns the time without a new beat after which a member is suspected. The lock is held.
func (s *Service) suspectAfter(id string) time.Duration {
	if s.sameZone(id) {
		return SuspectAfter
	}
	return suspectOtherZoneAfter
}

// publishOwnRecord stores a copy of the own member record in the table. The lock is held, or the Service is not in use
// yet.
func (s *Service) publishOwnRecord(now time.Time) {
	record := proto.Clone(s.ownRecord).(*peerpb.Member)
	s.table.merge(now, "", memberEntry(record))
	s.observeBeat(s.opts.ID, s.ownRecord.GetBeat(), now)
}

// observeBeat updates the presence of a member, which may be new, and reports whether the beat is new. The lock is
// held, or the Service is not in use yet.
func (s *Service) observeBeat(id string, beat uint32, now time.Time) bool {
	p := s.presences[id]
	if p == nil {
		s.presences[id] = &presence{beat: beat, lastBeatAt: now}
		s.idsByBeatHash[beatHash(id)] = append(s.idsByBeatHash[beatHash(id)], id)
		s.generation++
		return true
	}
	wasSuspected := s.suspected(id, p, now)
	if !p.observe(beat, now) {
		return false
	}
	if p.dropped || wasSuspected {
		p.dropped = false
		s.generation++
	}
	return true
}

// jitter returns a random duration within 10 % of d.
func jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(rand.Int64N(int64(d)/5))
}

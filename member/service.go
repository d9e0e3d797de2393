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

// Service is the membership of one process. It is safe for concurrent use.
type Service struct {
	opts  Options
	stats *stats
	jobs  jobs
	ctx   context.Context // ends with Run
	end   context.CancelFunc
	push  chan struct{} // bounds the pushes under way

	mu         sync.Mutex
	own        *peerpb.Member
	table      *table
	presences  map[string]*presence
	byHash     map[uint32][]string
	peers      map[string]*peerState
	bases      map[uint32]string    // upstreams by the base of their load records
	addresses  map[string]time.Time // of dropped members, with the time of dropping
	directory  []string             // peer addresses of the instance list
	random     randomPeers
	ringCache  zoneRing
	probing    bool
	lastProbe  time.Time
	fetching   bool
	lastTick   time.Time
	generation uint64 // raised when the set of live or suspected members changes
	polled     uint64 // generation that the pollers follow
	polledDoc  *config.Document
	pollers    map[string]*poller
	suspicions uint64
	packed     packedDocument
}

var _ View = (*Service)(nil)

// New returns a membership that does nothing until Run.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	s := &Service{
		opts: opts, stats: newStats(opts.Metrics), push: make(chan struct{}, maxPushes),
		table: newTable(), presences: make(map[string]*presence), byHash: make(map[uint32][]string),
		peers: make(map[string]*peerState), addresses: make(map[string]time.Time), pollers: make(map[string]*poller),
		bases: make(map[uint32]string),
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.own = &peerpb.Member{
		Id: opts.ID, Seq: 1, Beat: 1, Region: opts.Region, Zone: opts.Zone, PeerAddress: opts.PeerAddress,
		OperatorAddress: opts.OperatorAddress, ConfigVersion: opts.Version(),
	}
	s.setOwn(time.Now())
	return s
}

// Register sets the handlers of the calls that the membership answers.
func (s *Service) Register(t *peer.Transport) {
	t.Handle(peer.KindHeartbeat, s.handleHeartbeat)
	t.Handle(peer.KindPush, s.handlePush)
	t.Handle(peer.KindFetchConfig, s.handleFetch)
}

// Run exchanges heartbeats, reads the instance list and polls upstreams until the context ends. It must be called once.
func (s *Service) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.end)()
	if s.opts.Directory != nil {
		s.jobs.run(func() { s.readDirectory(ctx) })
	}
	for {
		s.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			s.end()
			s.stopPollers()
			s.jobs.wait()
			return ctx.Err()
		case <-time.After(jitter(heartbeatInterval)):
		}
	}
}

// Leave tells the peers that this process takes part no longer. Run goes on until its context ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.own.Leaving = true
	s.own.Seq++
	s.setOwn(time.Now())
	record := s.table.entries[key{kindMember, s.opts.ID}].msg
	s.mu.Unlock()
	batch := &peerpb.Records{}
	add(batch, record)
	s.pushAll(ctx, batch, "", true)
}

// Self implements View.
func (s *Service) Self() string { return s.opts.ID }

// Live implements View. Suspected members are live; leaving ones are not.
func (s *Service) Live() []*peerpb.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live(func(*peerpb.Member, *presence) bool { return true })
}

// Suspected says whether nothing was heard of a member for SuspectAfter.
func (s *Service) Suspected(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.presences[id]
	return p == nil || p.dropped || s.suspected(id, p, time.Now())
}

// Address returns the peer address of an instance; it serves as peer.Options.Address.
func (s *Service) Address(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.entries[key{kindMember, id}]; e != nil {
		address := e.msg.(*peerpb.Member).GetPeerAddress()
		return address, address != ""
	}
	return "", false
}

// live returns the members that match, in order of their IDs. The lock is held.
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
	return id != s.opts.ID && now.Sub(p.at) >= SuspectAfter
}

// setOwn publishes the own record. The lock is held, or the service is not in use yet.
func (s *Service) setOwn(now time.Time) {
	record := proto.Clone(s.own).(*peerpb.Member)
	s.table.merge(now, "", memberEntry(record))
	s.meet(s.opts.ID, s.own.GetBeat(), now)
}

// meet notes a sign of life and reports whether it is new.
func (s *Service) meet(id string, beat uint32, now time.Time) bool {
	p := s.presences[id]
	if p == nil {
		s.presences[id] = &presence{beat: beat, at: now}
		s.byHash[beatHash(id)] = append(s.byHash[beatHash(id)], id)
		s.generation++
		return true
	}
	wasSuspected := s.suspected(id, p, now)
	if !p.hear(beat, now) {
		return false
	}
	if p.dropped || wasSuspected {
		p.dropped = false
		s.generation++
	}
	return true
}

func jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(rand.Int64N(int64(d)/5))
}

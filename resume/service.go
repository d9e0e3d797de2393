package resume

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/internal/boottime"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

const (
	// tickInterval is the time between two looks at the versions of the replicas.
	tickInterval = 500 * time.Millisecond
	// wakePause is the time between a reason to look at once and the look, which gathers what comes with it.
	wakePause = 10 * time.Millisecond
	// homesTold is the number of instances of the zone that are told of a stream. Streams are taken up when instances end, and
	// several may end at once.
	homesTold = 3
	// homesAsked is more than homesTold, because the members that are alive, and with them the homes, have changed by then.
	homesAsked = 6
	// zoneTimeout and othersTimeout bound the calls to homes in the zone and in others. The caller waits for them.
	zoneTimeout   = 100 * time.Millisecond
	othersTimeout = 150 * time.Millisecond
	// logInterval is the least time between two log lines of the same failure.
	logInterval = time.Second
)

// How the version of a stream was found: the log of requests and the counters name these.
const (
	// KnownHere means that this instance began the stream or was told of it.
	KnownHere = "known_here"
	// OneVersionByStore means that the record had one version of the service when this instance read it, after the request had
	// arrived.
	OneVersionByStore = "one_version_by_store"
	// OneVersionByPeers means that a peer read the record so, because the store did not answer this instance.
	OneVersionByPeers = "one_version_by_peers"
	// KnownByPeers means that another instance that was asked knew the stream.
	KnownByPeers = "known_by_peers"
	// Unknown means that nobody could say.
	Unknown = "unknown"
)

// Service finds the versions at which streams began. It is safe for concurrent use.
type Service struct {
	opts     Options
	origins  origins
	versions *versions
	outboxes outboxes
	// reads are reads of the record from the store, peerReads those through peers, writes its writes.
	reads, peerReads batch[*record]
	writes           batch[struct{}]
	// wake makes Run look at the replicas and keep the record at once. It has capacity 1.
	wake chan struct{}

	mu             sync.Mutex
	unknownLogged  time.Time
	recordFailedAt time.Time
	// lookedAt is when the replicas were last looked at.
	lookedAt boottime.Instant
	// touchedAt is when this instance was last seen to follow the store.
	touchedAt boottime.Instant
}

// New returns a service that tells no peers and records nothing before Run.
func New(opts Options) *Service {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.HeardAge == nil {
		opts.HeardAge = func() (time.Duration, bool) { return 0, false }
	}
	if opts.InTouch == nil {
		opts.InTouch = func() bool { return true }
	}
	if opts.Clock == nil {
		opts.Clock = boottime.Now
	}
	s := &Service{
		opts: opts, origins: origins{byID: make(map[string]origin)}, wake: make(chan struct{}, 1),
		lookedAt: opts.Clock(), touchedAt: opts.Clock(),
	}
	s.versions = newVersions(time.Now(), func(version string) bool { return s.origins.anyOpen(time.Now(), version) })
	s.outboxes.peers = opts.Peers
	s.reads.call, s.reads.timeout, s.reads.pause = s.readRecord, readTimeout, failurePause
	s.peerReads.call, s.peerReads.timeout = s.readByPeers, zoneTimeout+othersTimeout
	s.writes.call, s.writes.timeout, s.writes.pause = s.writeRecord, storeTimeout, failurePause
	return s
}

// Register makes the transport serve the calls of other instances.
func (s *Service) Register(t *peer.Transport) {
	t.Handle(peer.KindPushOrigins, s.HandlePush)
	t.Handle(peer.KindFindOrigin, s.HandleFind)
}

// Run tells peers of streams that began before they needed to know, and keeps the record in the store, until the context
// ends.
func (s *Service) Run(ctx context.Context) {
	for {
		s.look()
		now := time.Now()
		for id, found := range s.origins.untold(now, func(service string) bool { return s.mustTell(now, service) }) {
			s.tell(id, found)
		}
		s.keepRecord(ctx)
		select {
		case <-time.After(tickInterval):
		case <-s.wake:
			sleep.For(ctx, wakePause)
		case <-ctx.Done():
			return
		}
	}
}

// Find returns the version at which a stream began that a caller takes up again, by the ID of the request that brought its
// first event; the ID may be empty. how says how it was found, one of the constants above. Find returns ErrUnknownOrigin, or the
// error of the context.
func (s *Service) Find(ctx context.Context, service, id string) (version, how string, err error) {
	found := verdict{how: KnownHere}
	if known, here := s.origins.find(time.Now(), id); here {
		found.version = known.version
	} else {
		found = s.findElsewhere(ctx, service, id)
	}
	if found.how == "" && ctx.Err() != nil {
		return "", Unknown, ctx.Err()
	}
	if found.how == "" {
		s.count(Unknown)
		s.logUnknown(ctx, service, id)
		return "", Unknown, fmt.Errorf("%w: request %q of service %q", ErrUnknownOrigin, id, service)
	}
	s.count(found.how)
	return found.version, found.how, nil
}

// verdict says at which version a stream began and how that was found; how is empty if it was not.
type verdict struct{ version, how string }

// findElsewhere asks the homes of a stream and reads the record. A home of the zone that knows the stream counts for more than the
// record: the instance that began it may not have been in touch. The homes of other zones are asked only if the record does not
// answer soon.
func (s *Service) findElsewhere(ctx context.Context, service, id string) verdict {
	read := make(chan fresh, 1)
	_, only := s.versions.only(time.Now(), service)
	if only {
		go func() { read <- s.readFresh(ctx) }()
	}
	zone, others := s.homes(id)
	if found := s.ask(ctx, service, id, zone[:min(len(zone), homesAsked)], zoneTimeout); found.how != "" {
		return found
	}
	if !only {
		go func() { read <- s.readOwn(ctx) }()
	}
	verdicts := make(chan verdict, 2)
	left := 1
	select {
	case result := <-read:
		if found := s.judge(service, result); found.how != "" {
			return found
		}
	case <-time.After(readPatience):
		left = 2
		go func() { verdicts <- s.judge(service, <-read) }()
	}
	go func() { verdicts <- s.ask(ctx, service, id, others, othersTimeout) }()
	for range left {
		if found := <-verdicts; found.how != "" {
			return found
		}
	}
	return verdict{}
}

// judge says what a record that has just been read means for a stream of a service.
func (s *Service) judge(service string, read fresh) verdict {
	if read.err != nil {
		return verdict{}
	}
	version, only := s.versions.onlyIn(time.Now(), read.record, service)
	if !only {
		return verdict{}
	}
	return verdict{version, read.how}
}

// homes returns the homes of a stream, none if its ID is not known.
func (s *Service) homes(id string) (zone, others []string) {
	if id == "" {
		return nil, nil
	}
	return s.opts.Homes(id)
}

// ask asks homes of a stream at which version it began.
func (s *Service) ask(ctx context.Context, service, id string, homes []string, timeout time.Duration) verdict {
	answer := s.askAll(ctx, homes, timeout, &peerpb.FindOrigin{Stream: id}, (*peerpb.FoundOrigin).GetFound)
	if answer == nil {
		return verdict{}
	}
	expires := time.Now().Add(time.Duration(answer.GetTtlMillis()) * time.Millisecond)
	s.origins.put(id, origin{service: service, version: answer.GetVersion(), expires: expires, told: true})
	return verdict{answer.GetVersion(), KnownByPeers}
}

// askAll asks instances at the same time and returns the first answer that says something, or nil.
func (s *Service) askAll(
	ctx context.Context, instances []string, timeout time.Duration, question *peerpb.FindOrigin, says func(*peerpb.FoundOrigin) bool,
) *peerpb.FoundOrigin {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan *peerpb.FoundOrigin, len(instances))
	for _, instance := range instances {
		go func() {
			resp, err := s.opts.Peers.Call(ctx, instance, &peerpb.Request{Call: &peerpb.Request_FindOrigin{FindOrigin: question}})
			if err != nil {
				s.count("ask_errors")
			}
			answers <- resp.GetFoundOrigin()
		}()
	}
	for range instances {
		select {
		case answer := <-answers:
			if says(answer) {
				return answer
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// HandleFind serves an instance where a stream is taken up.
func (s *Service) HandleFind(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	if req.GetFindOrigin().GetRecord() {
		return &peerpb.Response{Result: &peerpb.Response_FoundOrigin{FoundOrigin: s.handleRecord(ctx)}}, nil
	}
	now := time.Now()
	answer := &peerpb.FoundOrigin{}
	if found, known := s.origins.find(now, req.GetFindOrigin().GetStream()); known {
		answer.Found, answer.Version, answer.TtlMillis = true, found.version, millis(found.expires.Sub(now))
	}
	return &peerpb.Response{Result: &peerpb.Response_FoundOrigin{FoundOrigin: answer}}, nil
}

// HandlePush serves an instance that tells of streams.
func (s *Service) HandlePush(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	now := time.Now()
	push := req.GetPushOrigins()
	for _, told := range push.GetOrigins() {
		if int(told.GetVersion()) >= len(push.GetVersions()) {
			return nil, errors.Newf("resume: version %d of %d", told.GetVersion(), len(push.GetVersions()))
		}
		ttl := min(time.Duration(told.GetTtlMillis())*time.Millisecond, maxTTL)
		s.origins.put(told.GetStream(), origin{version: push.GetVersions()[told.GetVersion()], expires: now.Add(ttl), told: true})
	}
	return nil, nil
}

func (s *Service) ambiguous(now time.Time, service string) bool {
	_, only := s.versions.only(now, service)
	return !only
}

// tell tells the homes of a stream in this zone where it began.
func (s *Service) tell(id string, found origin) {
	zone, _ := s.opts.Homes(id)
	for _, home := range zone[:min(len(zone), homesTold)] {
		s.outboxes.add(home, id, found)
	}
}

func (s *Service) logUnknown(ctx context.Context, service, id string) {
	now := time.Now()
	s.mu.Lock()
	logged := now.Sub(s.unknownLogged) < logInterval
	if !logged {
		s.unknownLogged = now
	}
	s.mu.Unlock()
	if logged {
		return
	}
	state := s.State()
	attrs := []slog.Attr{
		slog.String("service", service), slog.String("resumes", id),
		slog.Any("versions", state.Versions[service]), slog.Bool("recorded", state.Recorded),
	}
	if age, heard := s.opts.HeardAge(); heard {
		attrs = append(attrs, slog.Int64("heard_ms_ago", age.Milliseconds()))
	}
	eventOriginUnknown.Log(ctx, s.opts.Logger, attrs...)
}

// State is the state for operators.
type State struct {
	// Versions are those of each service that may have open streams.
	Versions map[string][]string `json:"versions"`
	// Recorded is set if the store's record of them is known.
	Recorded bool `json:"recorded"`
	// Streams is the number of streams whose origins are known here.
	Streams int `json:"streams"`
}

// State returns the state for operators.
func (s *Service) State() State {
	state := State{}
	state.Versions, state.Recorded = s.versions.state()
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	state.Streams = len(s.origins.byID)
	return state
}

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter("resume."+name, s.opts.Metrics).Inc(1)
}

func millis(d time.Duration) uint32 { return uint32(min(max(d, 0), maxTTL).Milliseconds()) }

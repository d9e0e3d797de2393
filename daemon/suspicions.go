package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/suspect"
	"rhubarbpoint/topo"
)

const (
	// suspicionPrefix is the prefix of the keys under which instances share their suspicions. There is one key for each
	// instance name, so that the number of keys is bounded by the number of instances.
	suspicionPrefix = "rhubarbpoint/suspicions/"
	// suspicionWriteDelay is the least time between two writes, because all requests on a crashed replica become
	// suspect together.
	suspicionWriteDelay = 500 * time.Millisecond
	// suspicionWriteTimeout bounds one write.
	suspicionWriteTimeout = 2 * time.Second
	// maxSharedSuspicions bounds the value of a key, at about 60 bytes each.
	maxSharedSuspicions = 1000
)

// suspicions shares the suspect requests and the prompt segments blamed for crashes that an instance knows of through
// the platform's store. All instances receive the keys with the watch that they hold for routes and replicas.
type suspicions struct {
	store    topo.Store
	key      string
	table    *suspect.Table
	segments *suspect.SegmentTable
	logger   *slog.Logger
	pending  chan struct{}

	revision int64 // of this instance's key as last seen; belongs to run

	mu sync.Mutex
	// written is the last written value, or nil.
	written []byte
}

func newSuspicions(store topo.Store, instance string, logger *slog.Logger) *suspicions {
	return &suspicions{store: store, key: suspicionPrefix + instance, logger: logger, pending: make(chan struct{}, 1)}
}

// scheduleWrite makes run write the suspicions. It does not block.
func (s *suspicions) scheduleWrite() {
	select {
	case s.pending <- struct{}{}:
	default:
	}
}

// observeList checks all entries of the store. If they lack what this instance has shared, because the store was restored from
// an older copy, it shares its suspicions again.
func (s *suspicions) observeList(entries []topo.Entry) {
	s.mu.Lock()
	shared := s.written
	s.mu.Unlock()
	i := slices.IndexFunc(entries, func(entry topo.Entry) bool { return entry.Key == s.key })
	if shared != nil && (i < 0 || !bytes.Equal(entries[i].Value, shared)) {
		s.scheduleWrite()
	}
}

// merge merges the suspicions of another instance, and those that an earlier process of this instance shared, which the
// next write would otherwise remove from the store.
func (s *suspicions) merge(now time.Time, entry topo.Entry) {
	if !strings.HasPrefix(entry.Key, suspicionPrefix) || entry.Value == nil {
		return
	}
	records := &peerpb.Records{}
	if err := proto.Unmarshal(entry.Value, records); err != nil {
		eventSuspicionsUnreadable.Log(context.Background(), s.logger, slog.String("key", entry.Key), slog.String("error", err.Error()))
		return
	}
	own := entry.Key == s.key
	s.segments.Merge(now, records.Segments, own)
	apply := s.table.Merge
	if own {
		apply = s.table.Inherit
	}
	for _, record := range records.Suspicions {
		apply(now, record)
	}
}

// run writes the suspicions after each change until the context ends.
func (s *suspicions) run(ctx context.Context) {
	shared := false // the last written value has records
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pending:
		}
		// An attempt that succeeds in the meantime clears its suspicion, and nothing is written.
		if !sleep.For(ctx, suspicionWriteDelay) {
			return
		}
		requests := s.table.Records(time.Now())
		records := &peerpb.Records{
			Suspicions: requests[:min(len(requests), maxSharedSuspicions)], Segments: s.segments.Records(time.Now()),
		}
		n := len(records.Suspicions) + len(records.Segments)
		if n == 0 && !shared {
			continue
		}
		if err := s.write(ctx, records); err != nil {
			eventSuspicionsNotShared.Log(ctx, s.logger, slog.Int("records", n), slog.String("error", err.Error()))
			s.scheduleWrite()
			continue
		}
		shared = n > 0
	}
}

func (s *suspicions) write(ctx context.Context, records *peerpb.Records) error {
	ctx, cancel := context.WithTimeout(ctx, suspicionWriteTimeout)
	defer cancel()
	value, err := proto.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "daemon: suspicions")
	}
	revision, err := s.store.Put(ctx, s.key, value, s.revision, 0)
	if err == nil {
		s.revision = revision
		s.mu.Lock()
		defer s.mu.Unlock()
		s.written = value
		return nil
	}
	// The key may have been written by an earlier process of this instance, or by a write whose response was lost.
	if entry, getErr := s.store.Get(ctx, s.key); getErr == nil {
		s.revision = entry.Revision
	} else if errors.Is(getErr, topo.ErrNotFound) {
		s.revision = 0
	}
	return err
}

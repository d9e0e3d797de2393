package daemon

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/suspect"
	"rhubarbpoint/topo"
)

const (
	// suspicionPrefix begins the keys under which instances share their suspicions, one key for each instance name, so
	// that the number of keys is bounded by the fleet.
	suspicionPrefix = "rhubarbpoint/suspicions/"
	// suspicionPause is the least time between two writes: all requests on a crashed replica become suspects together.
	suspicionPause = 500 * time.Millisecond
	// suspicionTimeout bounds one write.
	suspicionTimeout = 2 * time.Second
	// maxSharedSuspicions bounds the value of a key, at about 60 bytes each.
	maxSharedSuspicions = 1000
)

// suspicions shares what an instance knows of requests that crash replicas, through the platform's store. The keys come
// back to all instances with the watch that they hold anyway.
type suspicions struct {
	store  topo.Store
	key    string
	table  *suspect.Table
	logger *slog.Logger
	dirty  chan struct{}

	revision int64 // of the own key as last seen
	written  int   // records in the last written value
}

func newSuspicions(store topo.Store, instance string, logger *slog.Logger) *suspicions {
	return &suspicions{store: store, key: suspicionPrefix + instance, logger: logger, dirty: make(chan struct{}, 1)}
}

// changed notes that there is something to share. It does not block.
func (s *suspicions) changed(*peerpb.Suspicion) {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// take merges the suspicions of another instance.
func (s *suspicions) take(now time.Time, entry topo.Entry) {
	if !strings.HasPrefix(entry.Key, suspicionPrefix) || entry.Key == s.key || entry.Value == nil {
		return
	}
	records := &peerpb.Records{}
	if err := proto.Unmarshal(entry.Value, records); err != nil {
		eventSuspicionsUnreadable.Log(context.Background(), s.logger, slog.String("key", entry.Key), slog.String("error", err.Error()))
		return
	}
	for _, record := range records.Suspicions {
		s.table.Merge(now, record)
	}
}

// run writes what has changed until the context ends.
func (s *suspicions) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.dirty:
		}
		// A run that ends well in the meantime clears its suspicion, and nothing is written.
		if !sleep.For(ctx, suspicionPause) {
			return
		}
		records := s.table.Records(time.Now())
		records = records[:min(len(records), maxSharedSuspicions)]
		if len(records) == 0 && s.written == 0 {
			continue
		}
		if err := s.write(ctx, records); err != nil {
			eventSuspicionsNotShared.Log(ctx, s.logger, slog.Int("records", len(records)), slog.String("error", err.Error()))
			s.changed(nil)
		}
	}
}

func (s *suspicions) write(ctx context.Context, records []*peerpb.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, suspicionTimeout)
	defer cancel()
	value, err := proto.Marshal(&peerpb.Records{Suspicions: records})
	if err != nil {
		return errors.Wrap(err, "daemon: suspicions")
	}
	revision, err := s.store.Put(ctx, s.key, value, s.revision, 0)
	if err == nil {
		s.revision, s.written = revision, len(records)
		return nil
	}
	// The key may be of an earlier start of this instance, or a write whose answer was lost.
	if entry, getErr := s.store.Get(ctx, s.key); getErr == nil {
		s.revision = entry.Revision
	} else if errors.Is(getErr, topo.ErrNotFound) {
		s.revision = 0
	}
	return err
}

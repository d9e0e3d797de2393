package soak

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"rhubarbpoint/platform"
	"rhubarbpoint/topo"
	"rhubarbpoint/traffic"
)

// storeWriter writes to the store what operators and replicas write there. It executes the writes in order and repeats
// each until the store accepts it.
type storeWriter struct {
	store *platform.Client
	queue chan write

	mu sync.Mutex
	// version is the newest version of the routes that the store has accepted, acceptedAt the time of that.
	version    int64
	acceptedAt time.Time
	// accepted are the times at which the store accepted the versions, which are in ascending order.
	accepted []acceptedVersion
	// latest holds by key what the store last accepted; nil stands for a removal.
	latest map[string][]byte
}

type write struct {
	key     string
	value   []byte // nil removes the key
	version int64  // of the routes if the write sets them, else 0
	again   bool   // writes what the store last accepted for the key, if anything
}

func newStoreWriter(address string) *storeWriter {
	return &storeWriter{store: platform.New(address, nil), queue: make(chan write, 1000), latest: make(map[string][]byte)}
}

func (s *storeWriter) put(key string, value []byte) { s.queue <- write{key: key, value: value} }
func (s *storeWriter) remove(key string)            { s.queue <- write{key: key} }

// rewrite writes everything again, after the store was restored from an older copy.
func (s *storeWriter) rewrite() {
	s.mu.Lock()
	keys := slices.Collect(maps.Keys(s.latest))
	s.mu.Unlock()
	for _, key := range keys {
		s.queue <- write{key: key, again: true}
	}
}

// putRoutes queues a version of the routes. Routes other than pathGrade go to plainService.
func (s *storeWriter) putRoutes(version int64, plainService string) {
	route := func(name string, kind traffic.Kind, service string, attempts int) traffic.Route {
		return traffic.Route{
			Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: kind, Timeout: routeTimeout, TargetLatency: 500 * time.Millisecond,
			MaxAttempts: attempts, Resumable: kind == traffic.Stream, Split: []traffic.Share{{Service: service, Weight: 1}},
		}
	}
	table := &traffic.Table{
		Version: version,
		Routes: []traffic.Route{
			route(pathOrder, traffic.AtMostOnce, plainService, 1), route(pathLook, traffic.Idempotent, plainService, 2),
			route(pathChat, traffic.Stream, plainService, 2), route(pathGrade, traffic.Stream, serviceModel, 1),
		},
		Services: map[string]traffic.Service{
			serviceA: {Name: serviceA}, serviceB: {Name: serviceB},
			serviceModel: {Name: serviceModel, Engine: &traffic.Engine{Slots: 64, KVTokens: 800_000}},
		},
	}
	for n, service := range streamServices {
		table.Routes = append(table.Routes, route(service, traffic.Stream, service, 1+n%2))
		table.Services[service] = traffic.Service{Name: service}
	}
	s.queue <- write{key: platform.KeyRoutes, version: version, value: platform.EncodeTableWithKeys(table, workspacesOf(version))}
}

func (s *storeWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.queue:
			for ctx.Err() == nil && !s.tryWrite(ctx, w) {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// tryWrite makes one attempt at a write and reports whether the store has accepted it. Each attempt reads the current
// revision first, so that one without a response can be repeated.
func (s *storeWriter) tryWrite(ctx context.Context, w write) bool {
	if w.again {
		s.mu.Lock()
		w.value = s.latest[w.key]
		s.mu.Unlock()
	}
	if !s.tryWriteValue(ctx, w) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[w.key] = w.value
	if w.version > 0 {
		s.version, s.acceptedAt = w.version, time.Now()
		s.accepted = append(s.accepted, acceptedVersion{s.version, s.acceptedAt})
	}
	return true
}

func (s *storeWriter) tryWriteValue(ctx context.Context, w write) bool {
	entry, err := s.store.Get(ctx, w.key)
	missing := errors.Is(err, topo.ErrNotFound)
	switch {
	case missing && w.value == nil:
		return true
	case err != nil && !missing:
		return false
	case w.value == nil:
		return s.store.Delete(ctx, w.key, entry.Revision) == nil
	}
	_, err = s.store.Put(ctx, w.key, w.value, entry.Revision, 0)
	return err == nil
}

func (s *storeWriter) newestVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

package soak

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbpoint/platform"
	"rhubarbpoint/topo"
	"rhubarbpoint/traffic"
)

// operator writes to the store what operators and replicas write there, in order, until each write is accepted.
type operator struct {
	store *platform.Client
	queue chan write

	mu sync.Mutex
	// version is the newest version of the routes that the store has accepted, acceptedAt when.
	version    int64
	acceptedAt time.Time
}

type write struct {
	key     string
	value   []byte // nil removes the key
	version int64  // of routes, or 0
}

func newOperator(address string) *operator {
	return &operator{store: platform.New(address, nil), queue: make(chan write, 1000)}
}

func (o *operator) put(key string, value []byte) { o.queue <- write{key: key, value: value} }
func (o *operator) remove(key string)            { o.queue <- write{key: key} }

// routes writes a version of the routes. The plain kinds go to one of two services.
func (o *operator) routes(version int64, plain string) {
	route := func(name string, kind traffic.Kind, service string, attempts int) traffic.Route {
		return traffic.Route{
			Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: kind, Timeout: callerDeadline, TargetLatency: 500 * time.Millisecond,
			MaxAttempts: attempts, Resumable: kind == traffic.Stream, Split: []traffic.Share{{Service: service, Weight: 1}},
		}
	}
	o.queue <- write{platform.KeyRoutes, platform.EncodeTable(&traffic.Table{
		Version: version,
		Routes: []traffic.Route{
			route(pathOrder, traffic.AtMostOnce, plain, 1), route(pathLook, traffic.Idempotent, plain, 2),
			route(pathChat, traffic.Stream, plain, 2), route(pathGrade, traffic.Stream, serviceModel, 1),
		},
		Services: map[string]traffic.Service{
			serviceA: {Name: serviceA}, serviceB: {Name: serviceB},
			serviceModel: {Name: serviceModel, Engine: &traffic.Engine{Slots: 64, KVTokens: 800_000}},
		},
	}), version}
}

func (o *operator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-o.queue:
			for ctx.Err() == nil && !o.try(ctx, w) {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// try makes one attempt at a write. An attempt without an answer is made again with the then current revision.
func (o *operator) try(ctx context.Context, w write) bool {
	entry, err := o.store.Get(ctx, w.key)
	missing := errors.Is(err, topo.ErrNotFound)
	switch {
	case missing && w.value == nil:
		return true
	case err != nil && !missing:
		return false
	case w.value == nil:
		return o.store.Delete(ctx, w.key, entry.Revision) == nil
	}
	if _, err = o.store.Put(ctx, w.key, w.value, entry.Revision, 0); err != nil {
		return false
	}
	if w.version > 0 {
		o.mu.Lock()
		o.version, o.acceptedAt = w.version, time.Now()
		o.mu.Unlock()
	}
	return true
}

func (o *operator) newest() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

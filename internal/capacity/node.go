package capacity

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

// node is one instance, of which only membership and the peer transport are real. The node itself takes the place of
// routing and of the configuration manager.
type node struct {
	service   *member.Service
	transport *peer.Transport
	metrics   metrics.Registry
	zone      string
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu            sync.Mutex
	doc           *config.Document
	data          []byte
	version       int64
	configChanged time.Time // when version was set
	leavingSeen   time.Time
	loads         map[string]time.Time // report times by upstream
}

func (n *node) run(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.running.Go(func() { _ = n.transport.Serve(l) })                // returns ErrClosed
	n.running.Go(func() { _ = n.service.Run(ctx) })                  // returns the context's error
	context.AfterFunc(ctx, func() { _ = n.transport.Shutdown(ctx) }) // the context has ended, so Shutdown does not wait
}

func (n *node) stop() {
	n.cancel()
	n.running.Wait()
}

func (n *node) setConfig(version int64, doc *config.Document, data []byte) {
	if data == nil {
		data = encode(doc)
	}
	n.mu.Lock()
	n.version, n.doc, n.data, n.configChanged = version, doc, data, time.Now()
	n.mu.Unlock()
	if n.service != nil {
		n.service.ConfigChanged()
	}
}

func (n *node) document() *config.Document {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doc
}

func (n *node) encodedDocument() (int64, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.data
}

func (n *node) applyDocument(_ context.Context, version int64, data []byte) error {
	doc := &config.Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return err
	}
	n.setConfig(version, doc, data)
	return nil
}

// SetDocument implements route.Sink.
func (n *node) SetDocument(*config.Document) {}

// UpdateCache implements route.Sink.
func (n *node) UpdateCache(string, *engine.CacheEvents) {}

// UpdateZone implements route.Sink.
func (n *node) UpdateZone(time.Time, *peerpb.ZoneSummary) {}

// UpdateLoad implements route.Sink.
func (n *node) UpdateLoad(_ time.Time, l *peerpb.UpstreamLoad) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[l.GetUpstream()] = time.UnixMilli(l.GetAtUnixMilli())
}

// SetLeaving implements route.Sink.
func (n *node) SetLeaving(string, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leavingSeen = time.Now()
}

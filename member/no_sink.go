package member

import (
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// noSink discards all updates of upstreams. It is the default of Options.Sink.
type noSink struct{}

func (noSink) SetDocument(*config.Document)                 {}
func (noSink) UpdateLoad(time.Time, *peerpb.UpstreamLoad)   {}
func (noSink) UpdateCache(string, *engine.CacheEvents)      {}
func (noSink) UpdateZone(time.Time, *peerpb.ZoneSummary)    {}
func (noSink) SetLeaving(upstream string, epochHash uint64) {}

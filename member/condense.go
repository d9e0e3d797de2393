package member

import (
	"math"
	"slices"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// modelIndexes numbers name@version of the document's models in sorted order, as load records name them.
func modelIndexes(doc *config.Document) map[string]uint32 {
	names := doc.Models.VersionNames()
	indexes := make(map[string]uint32, len(names))
	for i, name := range names {
		indexes[name] = uint32(i)
	}
	return indexes
}

// condense turns a load report into a record without sequence number and reporter. Models that the configuration does
// not name are left out.
func condense(upstream string, r *engine.LoadReport, models map[string]uint32) *peerpb.UpstreamLoad {
	l := &peerpb.UpstreamLoad{
		Upstream: upstream, AtUnixMilli: r.At.UnixMilli(), EpochHash: engine.EpochHash(r.Epoch),
		Running: count(r.Running), Waiting: count(r.Waiting), WaitingTokens: count(r.WaitingTokens),
		ArrivalsMilli:          number(r.ArrivalsPerSecond * 1000),
		PrefillTokensPerSecond: number(r.PrefillTokensPerSecond),
		StepMicros:             number(r.StepSeconds * 1e6),
		KvUsedPermille:         number(r.KVUsed * 1000),
		MaxRunning:             count(r.MaxRunning), Draining: r.Draining,
	}
	switch r.Role {
	case engine.RolePrefill:
		l.Role = 1
	case engine.RoleDecode:
		l.Role = 2
	}
	for _, m := range r.Models {
		if i, known := models[m.Name+"@"+m.Version]; known {
			l.Models = append(l.Models, i)
		}
	}
	slices.Sort(l.Models)
	return l
}

func count(n int) uint32 { return number(float64(n)) }

// number rounds and limits a value; an engine may report anything.
func number(f float64) uint32 {
	if math.IsNaN(f) || f <= 0 {
		return 0
	}
	return uint32(min(math.Round(f), math.MaxUint32))
}

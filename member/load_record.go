package member

import (
	"math"
	"slices"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

// modelIndexes returns the index of each name@version in the sorted list of the document's models. Load records refer
// to models by these indexes.
func modelIndexes(doc *config.Document) map[string]uint32 {
	names := doc.Models.VersionNames()
	indexes := make(map[string]uint32, len(names))
	for i, name := range names {
		indexes[name] = uint32(i)
	}
	return indexes
}

// newLoadRecord converts an engine's load report to a record; the caller sets the sequence number and the reporter.
// Models that are not in the configuration are omitted.
func newLoadRecord(upstream string, r *engine.LoadReport, models map[string]uint32) *peerpb.UpstreamLoad {
	l := &peerpb.UpstreamLoad{
		Upstream: upstream, AtUnixMilli: r.At.UnixMilli(), EpochHash: engine.EpochHash(r.Epoch),
		Running: toUint32(r.Running), Waiting: toUint32(r.Waiting), WaitingTokens: toUint32(r.WaitingTokens),
		ArrivalsMilli:          roundToUint32(r.ArrivalsPerSecond * 1000),
		PrefillTokensPerSecond: roundToUint32(r.PrefillTokensPerSecond),
		StepMicros:             roundToUint32(r.StepSeconds * 1e6),
		KvUsedPermille:         roundToUint32(r.KVUsed * 1000),
		MaxRunning:             toUint32(r.MaxRunning), Draining: r.Draining,
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

func toUint32(n int) uint32 { return roundToUint32(float64(n)) }

// roundToUint32 rounds a value and limits it to the range of uint32, because an engine may report any number. NaN
// becomes 0.
func roundToUint32(f float64) uint32 {
	if math.IsNaN(f) || f <= 0 {
		return 0
	}
	return uint32(min(math.Round(f), math.MaxUint32))
}

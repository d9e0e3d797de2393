package activity

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/peer/peerpb"
)

// ErrMalformed means that a message of another instance cannot be decoded.
var ErrMalformed = errors.New("activity: malformed message")

// nameTable collects the names of a message, each of which is sent once.
type nameTable struct {
	names   []string
	indexes map[string]uint32
}

func (t *nameTable) index(name string) uint32 {
	if i, found := t.indexes[name]; found {
		return i
	}
	if t.indexes == nil {
		t.indexes = make(map[string]uint32)
	}
	i := uint32(len(t.names))
	t.names, t.indexes[name] = append(t.names, name), i
	return i
}

// encode returns the message for a report, whose names it adds to the table.
func (t *nameTable) encode(r *Report) *peerpb.ActivityReport {
	message := &peerpb.ActivityReport{
		Instance: r.Instance, Zone: r.Zone, Sequence: r.Sequence, WallMillis: r.WallMillis, TrueOffset: r.TrueMillis - r.WallMillis,
	}
	for _, window := range slices.Sorted(maps.Keys(r.Usage)) {
		usage := &peerpb.WindowUsage{Window: window}
		for _, workspace := range slices.Sorted(maps.Keys(r.Usage[window])) {
			usage.Names = append(usage.Names, t.index(workspace))
			usage.Counts = append(usage.Counts, r.Usage[window][workspace])
		}
		message.Usage = append(message.Usage, usage)
	}
	for _, service := range slices.Sorted(maps.Keys(r.Demand)) {
		demand := r.Demand[service]
		totals := demand.totals()
		message.Demand = append(message.Demand, &peerpb.ServiceDemand{
			Name: t.index(service), Totals: totals[:], PrefillTokensPerSecond: uint32(math.Round(demand.PrefillTokensPerMs * 1000)),
		})
	}
	return message
}

// roundSpeed rounds a speed to what a message holds, so that a report does not change with each measurement.
func roundSpeed(tokensPerMs float64) float64 {
	if !(tokensPerMs > 0) {
		return 0
	}
	return math.Round(min(tokensPerMs, math.MaxUint32/1000)*10) / 10
}

// decode returns the report of a message, whose names are those of the table.
func decode(names []string, message *peerpb.ActivityReport) (*Report, error) {
	if message == nil {
		return nil, errors.Wrap(ErrMalformed, "no report")
	}
	r := &Report{
		Instance: message.GetInstance(), Zone: message.GetZone(), Sequence: message.GetSequence(), WallMillis: message.GetWallMillis(),
		TrueMillis: message.GetWallMillis() + message.GetTrueOffset(), Usage: make(map[int64]map[string]uint64), Demand: make(map[string]ServiceDemand),
	}
	for _, usage := range message.GetUsage() {
		if len(usage.GetNames()) != len(usage.GetCounts()) {
			return nil, errors.Wrap(ErrMalformed, "as many names as counts are required")
		}
		for i, name := range usage.GetNames() {
			if int(name) >= len(names) {
				return nil, errors.Wrap(ErrMalformed, "name without an entry in the table")
			}
			r.Usage[usage.GetWindow()] = ensure(r.Usage[usage.GetWindow()])
			r.Usage[usage.GetWindow()][names[name]] = usage.GetCounts()[i]
		}
	}
	for _, demand := range message.GetDemand() {
		if int(demand.GetName()) >= len(names) || len(demand.GetTotals()) < demandTotals {
			return nil, errors.Wrap(ErrMalformed, "demand")
		}
		r.Demand[names[demand.GetName()]] = demandOf([demandTotals]uint64(demand.GetTotals()), float64(demand.GetPrefillTokensPerSecond())/1000)
	}
	return r, nil
}

// encodeReceived returns the message for the reports that a collector passes on at the time now.
func encodeReceived(now time.Time, reports []received, revision uint64) *peerpb.ActivityReports {
	var table nameTable
	message := &peerpb.ActivityReports{Revision: revision}
	for _, r := range reports {
		encoded := table.encode(r.report)
		encoded.WallMillis, encoded.TrueOffset = 0, r.report.TrueMillis
		encoded.AgeMillis = uint32(max(0, now.Sub(r.at).Milliseconds()))
		message.Reports = append(message.Reports, encoded)
	}
	message.Names = table.names
	return message
}

// decodeReceived returns the reports of a message that was received at the time now.
func decodeReceived(now time.Time, message *peerpb.ActivityReports) ([]received, error) {
	var reports []received
	for _, encoded := range message.GetReports() {
		r, err := decode(message.GetNames(), encoded)
		if err != nil {
			return nil, err
		}
		if r.Instance == "" {
			return nil, errors.Wrap(ErrMalformed, "report without instance")
		}
		reports = append(reports, received{report: r, at: now.Add(-time.Duration(encoded.GetAgeMillis()) * time.Millisecond)})
	}
	return reports, nil
}

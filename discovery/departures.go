package discovery

import (
	"maps"
	"time"

	"rhubarbpoint/topo"
	"rhubarbpoint/upstream"
)

const (
	// doubtTime is how long an older entry of a replica that has left is not believed after the store was restored. A replica
	// that is leaving has written its entry again by then, and the entry of one that has ended has expired, as the store
	// removes entries after three heartbeats of silence, each of about a second.
	doubtTime = 5 * time.Second
	// departureTTL is how long a departure is remembered. Copies from which a store is restored are younger.
	departureTTL = 10 * time.Minute
)

// departures keeps which incarnations of replicas the store has shown as draining or deleted, and which entries of a
// restored store contradict that. Its user serializes the calls.
type departures struct {
	left map[upstream.Incarnation]time.Time
	// doubted holds by their keys the entries that are not believed until doubtUntil.
	doubted    map[string]topo.Entry
	doubtUntil time.Time
}

func newDepartures() *departures {
	return &departures{left: make(map[upstream.Incarnation]time.Time), doubted: make(map[string]topo.Entry)}
}

// record records whether the store shows an incarnation as one that has left.
func (d *departures) record(now time.Time, incarnation upstream.Incarnation, left bool) {
	if !left {
		delete(d.left, incarnation)
		return
	}
	maps.DeleteFunc(d.left, func(_ upstream.Incarnation, at time.Time) bool { return now.Sub(at) > departureTTL })
	d.left[incarnation] = now
}

// restored records that the store was restored from a copy.
func (d *departures) restored(now time.Time) { d.doubtUntil = now.Add(doubtTime) }

// doubts reports whether an entry of the first list after a restore is not believed, and keeps it if so.
func (d *departures) doubts(now time.Time, entry topo.Entry, replica *upstream.Replica) bool {
	if _, left := d.left[replica.Incarnation()]; !left || replica.Draining || !now.Before(d.doubtUntil) {
		return false
	}
	d.doubted[entry.Key] = entry
	return true
}

// changed records that an entry was written again or deleted.
func (d *departures) changed(key string) { delete(d.doubted, key) }

// believed returns the entries that were doubted and that the store still has.
func (d *departures) believed(now time.Time) []topo.Entry {
	if len(d.doubted) == 0 || now.Before(d.doubtUntil) {
		return nil
	}
	var entries []topo.Entry
	for _, entry := range d.doubted {
		entries = append(entries, entry)
	}
	clear(d.doubted)
	return entries
}

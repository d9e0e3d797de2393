package upstream

import (
	"strconv"
	"time"
)

// Replica describes one incarnation of an upstream process, as reported by discovery.
type Replica struct {
	// ID names the replica. A replica can restart under the same ID; Born distinguishes its incarnations.
	ID string
	// Born is the start time of the process in Unix milliseconds, 0 if unknown.
	Born    int64
	Service string
	// Version is the version of the replica's software, empty if unknown. Replicas of several versions can serve side by side.
	Version string
	Address string
	Region  string
	Zone    string
	// Slots is the number of requests that the replica processes at once, 0 if unknown.
	Slots int
	// Draining replicas get no new requests.
	Draining bool
	Stage    Stage
	// Cold is how long the replica remains slow after its start, counted from when the description was written.
	Cold time.Duration
	// Preemptible replicas are cheap and may be taken away at any time, all of a zone at once.
	Preemptible bool
	// LeavesIn is the time until a replica that is being taken away ends, counted from when the description was written,
	// 0 if it is not.
	LeavesIn time.Duration
}

// Incarnation identifies one start of a replica's process.
type Incarnation struct {
	ID   string
	Born int64
}

// String returns the incarnation as ID/Born.
func (i Incarnation) String() string { return i.ID + "/" + strconv.FormatInt(i.Born, 10) }

// Key returns the incarnation of a replica as ID/Born.
func Key(r *Replica) string { return r.Incarnation().String() }

// StageOf returns the stage of a replica.
func StageOf(r *Replica) Stage { return r.Stage }

// Incarnation returns the incarnation that r describes.
func (r *Replica) Incarnation() Incarnation { return Incarnation{r.ID, r.Born} }

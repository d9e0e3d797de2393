package upstream

import (
	"strconv"
	"time"
)

// Replica is one start of an upstream process as discovery describes it.
type Replica struct {
	// ID names the replica. A replica may start again under its ID; Born tells the starts apart.
	ID string
	// Born is the start of the process in Unix milliseconds, 0 if unknown.
	Born    int64
	Service string
	Address string
	Region  string
	Zone    string
	// Slots is the number of requests that it processes at once, 0 if unknown.
	Slots int
	// Draining replicas get no new requests.
	Draining bool
	Stage    Stage
	// Cold is how long the replica stays slow after its start, from when the description was written.
	Cold time.Duration
}

// Incarnation identifies one start of a replica.
type Incarnation struct {
	ID   string
	Born int64
}

// String returns the identity as a key.
func (i Incarnation) String() string { return i.ID + "/" + strconv.FormatInt(i.Born, 10) }

// Key returns the identity of a replica's start as a key.
func Key(r *Replica) string { return r.Incarnation().String() }

// Incarnation returns the identity of this start.
func (r *Replica) Incarnation() Incarnation { return Incarnation{r.ID, r.Born} }

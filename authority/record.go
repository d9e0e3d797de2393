package authority

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
	"rhubarbpoint/topo"
)

// State is the state of an engine's last order.
type State string

// The states of a journal entry.
const (
	// StateIdle means that the engine has got no order yet.
	StateIdle State = "idle"
	// StateOutstanding means that the gate may send the order or has sent it. A gate sends an order only in this state.
	StateOutstanding State = "outstanding"
	// StateResolving means that the gate does not send the order any more, and that the holder is finding out whether
	// it has taken effect.
	StateResolving State = "resolving"
	// StateDone means that the order has taken effect.
	StateDone State = "done"
	// StateAborted means that the order has no effect and never will.
	StateAborted State = "aborted"
)

// Record is a journal entry: an engine's last order and its gate.
type Record struct {
	Engine string       `json:"engine"`
	Order  engine.Order `json:"order"`
	State  State        `json:"state"`
	// Gate is the only instance that may send orders to the engine. It is empty before the first order and after a
	// handover.
	Gate string `json:"gate,omitempty"`
}

// Open reports whether the order's outcome is not known yet.
func (r Record) Open() bool { return r.State == StateOutstanding || r.State == StateResolving }

// journalEntry is a record and its revision in the store. Revision zero means that the store has no record yet.
type journalEntry struct {
	Record
	revision int64
}

func journalKey(engineID string) string { return "journal/" + engineID }

func authorityKey(region string) string { return "authority/" + region }

func decodeRecord(entry topo.Entry) (journalEntry, error) {
	decoded := journalEntry{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &decoded.Record); err != nil {
		return journalEntry{}, errors.Wrapf(err, "authority: decode %s", entry.Key)
	}
	return decoded, nil
}

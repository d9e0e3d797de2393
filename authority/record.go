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
	// StateIdle: the engine has got no order yet.
	StateIdle State = "idle"
	// StateOutstanding: the order may be sent by the gate. Only in this state does a gate send it.
	StateOutstanding State = "outstanding"
	// StateResolving: the order will not be sent any more; its effect is being found out.
	StateResolving State = "resolving"
	StateDone      State = "done"
	StateAborted   State = "aborted"
)

// Record is a journal entry: an engine's last order and its gate.
type Record struct {
	Engine string       `json:"engine"`
	Order  engine.Order `json:"order"`
	State  State        `json:"state"`
	// Gate is the instance that alone may send orders to the engine. Empty after a hand-over.
	Gate string `json:"gate,omitempty"`
}

// Open says that the order may have an effect that is not known yet.
func (r Record) Open() bool { return r.State == StateOutstanding || r.State == StateResolving }

// journalEntry is a record at a revision of the store; zero means that there is none yet.
type journalEntry struct {
	Record
	revision int64
}

func journalKey(engineID string) string { return "journal/" + engineID }

func authorityKey(region string) string { return "authority/" + region }

func decodeRecord(entry topo.Entry) (journalEntry, error) {
	found := journalEntry{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &found.Record); err != nil {
		return journalEntry{}, errors.Wrapf(err, "authority: %s", entry.Key)
	}
	return found, nil
}

package scale

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
)

// ledger holds the numbers that were ordered last, by service. It is kept in the store, so that a successor neither
// repeats nor contradicts them. A ledger is not modified once it is in use.
type ledger map[string]map[Subject]int

// ledgerDocument is the value of a ledger in the store.
type ledgerDocument struct {
	Services map[string]map[string]ledgerZone `json:"services"`
}

// ledgerZone holds the numbers of a zone, nil for those that were never ordered.
type ledgerZone struct {
	OnDemand    *int `json:"on_demand,omitempty"`
	Preemptible *int `json:"preemptible,omitempty"`
}

// with returns the ledger with a number changed.
func (l ledger) with(service string, subject Subject, n int) ledger {
	next := make(ledger, len(l)+1)
	maps.Copy(next, l)
	next[service] = cloneMap(l[service])
	next[service][subject] = n
	return next
}

func (l ledger) equal(other ledger) bool {
	return maps.EqualFunc(l, other, func(a, b map[Subject]int) bool { return maps.Equal(a, b) })
}

func (l ledger) encode() ([]byte, error) {
	document := ledgerDocument{Services: make(map[string]map[string]ledgerZone, len(l))}
	for service, numbers := range l {
		zones := make(map[string]ledgerZone)
		for subject, n := range numbers {
			z := zones[subject.Zone]
			if subject.Kind == Preemptible {
				z.Preemptible = &n
			} else {
				z.OnDemand = &n
			}
			zones[subject.Zone] = z
		}
		document.Services[service] = zones
	}
	data, err := json.Marshal(&document)
	return data, errors.Wrap(err, "scale: encode what was ordered")
}

func decodeLedger(value []byte) (ledger, error) {
	var document ledgerDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return nil, errors.Wrap(err, "scale: decode what was ordered")
	}
	l := make(ledger, len(document.Services))
	for service, zones := range document.Services {
		l[service] = make(map[Subject]int)
		for name, z := range zones {
			if z.OnDemand != nil && *z.OnDemand >= 0 {
				l[service][Subject{name, OnDemand}] = *z.OnDemand
			}
			if z.Preemptible != nil && *z.Preemptible >= 0 {
				l[service][Subject{name, Preemptible}] = *z.Preemptible
			}
		}
	}
	return l, nil
}

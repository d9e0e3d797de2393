package stages_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/stages"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

func service(slots int) *traffic.Service {
	return &traffic.Service{Name: "model", Engine: &traffic.Engine{Slots: slots}}
}

// replicas returns replicas named by zone and number. Each letter of a zone is the stage of one replica: p for prefill,
// d for decode, w for whole.
func replicas(zones map[string]string) []*upstream.Replica {
	var list []*upstream.Replica
	for zone, letters := range zones {
		for i, letter := range letters {
			stage := map[rune]upstream.Stage{'p': upstream.Prefill, 'd': upstream.Decode, 'w': upstream.Whole}[letter]
			list = append(list, &upstream.Replica{ID: fmt.Sprintf("%s%d", zone, i), Service: "model", Zone: zone, Stage: stage})
		}
	}
	return list
}

// Guards against a plan that leaves no decode replica, that leaves further changes when it is executed, or that changes
// a deployment without separate stages or with too few decode slots.
func TestPlans(t *testing.T) {
	for _, c := range []struct {
		name  string
		slots int
		zones map[string]string
		want  string
	}{
		{"large batches, one decodes", 128, map[string]string{"a": "pdd", "b": "pddd"}, "a2:prefill b2:prefill b3:prefill"},
		{"large batches, a quarter decodes", 64, map[string]string{"a": "ppppdddddd"}, "a7:prefill a8:prefill a9:prefill"},
		{"good as it is", 128, map[string]string{"a": "ppd", "b": "d"}, ""},
		{"no decode in a zone", 128, map[string]string{"a": "ppp", "b": "dd"}, "a2:decode b1:prefill"},
		{"one replica in a zone", 128, map[string]string{"a": "p", "b": "d"}, ""},
		{"few slots", 6, map[string]string{"a": "ppddd"}, ""},
		{"too few decode slots", 6, map[string]string{"a": "ppppppdd"}, "a4:decode a5:decode"},
		{"the last prefill replica stays", 2, map[string]string{"a": "pd", "b": "ppd"}, "b1:decode"},
		{"small batches", 6, map[string]string{"a": "ppdddddd"}, "a6:prefill a7:prefill"},
		{"middle batches", 24, map[string]string{"a": "ppdddddd"}, "a5:prefill a6:prefill a7:prefill"},
		{"no prefill", 128, map[string]string{"a": "ddd"}, ""},
		{"no decode", 128, map[string]string{"a": "ppp"}, ""},
		{"whole", 128, map[string]string{"a": "www"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			list := replicas(c.zones)
			text := ""
			for _, change := range stages.Plan(service(c.slots), list) {
				text += fmt.Sprintf(" %s:%s", change.Replica.ID, change.Stage)
				change.Replica.Stage = change.Stage
			}
			g.Expect(text).To(gomega.Equal(map[bool]string{true: "", false: " " + c.want}[c.want == ""]))
			g.Expect(stages.Plan(service(c.slots), list)).To(gomega.BeEmpty(), "after the plan was executed")
		})
	}
	gomega.NewWithT(t).Expect(stages.Plan(&traffic.Service{}, replicas(map[string]string{"a": "pdd"}))).To(gomega.BeEmpty())
}

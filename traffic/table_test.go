package traffic_test

import (
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/traffic"
)

// Guards against a request that matches the route of a shorter prefix or of another host.
func TestLongestPrefixOfHostMatches(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &traffic.Table{Routes: []traffic.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}}
	name := func(host, path string) string {
		if r := table.Find(host, path); r != nil {
			return r.Name
		}
		return ""
	}
	g.Expect(name("a.example", "/x/y/z/1")).To(gomega.Equal("long"))
	g.Expect(name("A.EXAMPLE", "/x/1")).To(gomega.Equal("short"))
	g.Expect(name("b.example", "/x/y/z/1")).To(gomega.Equal("other"))
	g.Expect(name("b.example", "/x/y/1")).To(gomega.BeEmpty())
	g.Expect(name("c.example", "/x/y/z/1")).To(gomega.BeEmpty())
}

// Guards against a split that omits a service or gives it a share that is not in proportion to its weight.
func TestSplitFollowsWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	route := traffic.Route{Split: []traffic.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[route.PickService(float64(i)/1000)]++
	}
	g.Expect(count).To(gomega.Equal(map[string]int{"a": 900, "b": 100}))
	g.Expect((&traffic.Route{}).PickService(0.5)).To(gomega.BeEmpty())
}

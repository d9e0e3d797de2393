package config_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/config"
)

func valid(t *testing.T) string {
	data, err := os.ReadFile("testdata/valid.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func decode(t *testing.T, data string) *config.Document {
	doc, err := config.Decode([]byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against defaults that differ from the reference, and against an explicit zero that is treated as absent.
func TestDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := decode(t, valid(t))
	g.Expect(doc.Network.MaxRequestDeadline.String()).To(gomega.Equal("2m0s"))
	g.Expect(doc.Network.DefaultDeadline.String()).To(gomega.Equal("1m0s"))
	g.Expect(doc.Models.Targets.FirstToken.String()).To(gomega.Equal("1.1s"))
	g.Expect(doc.Models.Models[0].ContextTokens).To(gomega.Equal(128000))
	g.Expect(doc.Callers.Workspaces[0].Priority).To(gomega.Equal(0))
	g.Expect(doc.Callers.Workspaces[1].Priority).To(gomega.Equal(5))
	data, err := json.Marshal(doc)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(config.Decode(data)).To(gomega.Equal(doc))
	empty := decode(t, `{}`)
	g.Expect(empty.Models.Roles.ChangeTime.String()).To(gomega.Equal("5s"))
	short := decode(t, `{"network":{"max_request_deadline":"30s"}}`)
	g.Expect(short.Network.DefaultDeadline.String()).To(gomega.Equal("30s"))
}

// Guards against any kind of fault being accepted, or being reported with the wrong path, value or rule.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", `"version": 3`, `"version": 3, "modles": {}`, `modles: got an object; want no such field; one of version, orders, models, network, callers`},
		{"case of a field", `"weight": 2`, `"Weight": 2`, `callers.workspaces[0].Weight: got 2; want no such field; one of name, key_sha256, weight, priority`},
		{"wrong type", `"weight": 2`, `"weight": "2"`, `callers.workspaces[0].weight: got "2"; want a number, 0.01 to 1000`},
		{"null", `"weight": 2`, `"weight": null`, `callers.workspaces[0].weight: got null; want a number, 0.01 to 1000`},
		{"fraction for an integer", `"accelerators": 8`, `"accelerators": 8.5`, `models.engines[0].accelerators: got 8.5; want an integer, 1 to 64`},
		{"out of range", `"accelerators": 8`, `"accelerators": 65`, `models.engines[0].accelerators: got 65; want an integer, 1 to 64`},
		{"duration out of range", `"timeout": "2s"`, `"timeout": "2m"`, `orders.services[0].timeout: got "2m"; want a duration such as "1.1s", 100ms to 60s`},
		{"required", `"version": "v1"`, `"context_tokens": 2000`, `models.models[0].version: missing; want 1 to 128 letters, digits and ._/:@-, starting with a letter or digit`},
		{"empty list", `"zones": ["a", "b"]`, `"zones": []`, `network.regions[0].zones: got a list of 0; want a list with at least 1`},
		{"address", `"10.0.0.1:80"`, `"engine:80"`, `models.engines[0].address: got "engine:80"; want IP:port, such as "10.0.0.1:8080"`},
		{"field twice", `"weight": 2`, `"weight": 2, "weight": 3`, `callers.workspaces[0].weight: got 3; want each field once`},
		{"duplicate ID across sections", `"id": "s1"`, `"id": "e1"`, `models.engines[0].id: got "e1"; want a value other than that of orders.services[0].upstreams[0].id`},
		{"duplicate address in another notation", `"10.0.0.9:80"`, `"[::ffff:10.0.0.1]:80"`, `models.engines[0].address: got "10.0.0.1:80"; want a value other than that of orders.services[0].upstreams[0].address`},
		{"dangling zone", `"zone": "b"`, `"zone": "c"`, `models.engines[0].zone: got "c"; want a name listed in network.regions[0].zones: a, b`},
		{"dangling region", `"region": "west"`, `"region": "north"`, `models.engines[0].region: got "north"; want a name listed in network.regions: west, east`},
		{"missing model", `"models": ["m"]`, `"models": ["n"]`, `models.engines[0].models[0]: got "n"; want a name listed in models.models: m`},
		{"link to itself", `"to": "east"`, `"to": "west"`, `network.links[0].to: got "west"; want a region other than that of from`},
		{"deadline above the longest", `"links"`, `"max_request_deadline": "10s", "default_deadline": "11s", "links"`, `network.default_deadline: got "11s"; want at most max_request_deadline, 10s`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data := valid(t)
			g.Expect(data).To(gomega.ContainSubstring(c.old))
			doc, err := config.Decode([]byte(strings.Replace(data, c.old, c.new, 1)))
			g.Expect(doc).To(gomega.BeNil())
			g.Expect(err).To(gomega.MatchError(config.ErrInvalid))
			var lines []string
			for _, f := range err.(*config.InvalidError).Faults {
				lines = append(lines, f.String())
				g.Expect(f.Path).To(gomega.HavePrefix(f.Section))
			}
			g.Expect(lines).To(gomega.Equal([]string{c.want}))
		})
	}
}

// Guards against a decoder that reports only the first fault.
func TestAllFaultsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	data := strings.NewReplacer(`"accelerators": 8`, `"accelerators": 0`, `"weight": 2`, `"weight": -1`, `"zone": "b"`,
		`"zone": "c"`, `"timeout": "2s"`, `"timeout": 2`).Replace(valid(t))
	_, err := config.Decode([]byte(data))
	var sections []string
	for _, f := range err.(*config.InvalidError).Faults {
		sections = append(sections, f.Section)
	}
	g.Expect(sections).To(gomega.Equal([]string{"orders", "models", "callers", "models"}))
	_, err = config.Decode([]byte("{\n \"orders\": }"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("line 2")))
}

// Guards against an edit that changes another section, or that takes effect although it makes the document invalid.
func TestReplace(t *testing.T) {
	g := gomega.NewWithT(t)
	raw, err := config.ParseRawDocument([]byte(valid(t)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before := raw.Encode()
	_, _, err = raw.Replace("network", []byte(`{"regions":[{"name":"east","zones":["a"]}]}`))
	g.Expect(err).To(gomega.MatchError(config.ErrInvalid))
	g.Expect(err.(*config.InvalidError).Faults[0].Path).To(gomega.Equal("models.engines[0].region"))
	_, _, err = raw.Replace("callers", []byte(`{},"models":{}`))
	g.Expect(err).To(gomega.MatchError(config.ErrInvalid))
	_, _, err = raw.Replace("version", []byte(`{}`))
	g.Expect(err).To(gomega.MatchError(config.ErrUnknownSection))
	g.Expect(raw.Encode()).To(gomega.Equal(before))
	next, doc, err := raw.Replace("callers", []byte(`{"allow_unknown": true}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(doc.Callers.AllowUnknown).To(gomega.BeTrue())
	g.Expect(next.Models).To(gomega.Equal(raw.Models))
	g.Expect(raw.Encode()).To(gomega.Equal(before))
}

// Guards against missing differences, and against differences reported for an unchanged item or an explicit default.
func TestDiff(t *testing.T) {
	g := gomega.NewWithT(t)
	from := decode(t, valid(t))
	to := decode(t, strings.NewReplacer(
		`"zone": "b"`, `"zone": "a", "checks_fence": true`,
		`{"id": "s1"`, `{"id": "s0", "address": "10.0.0.7:80", "region": "east", "zone": "a"}, {"id": "s1"`,
		`"timeout": "2s"`, `"timeout": "2000ms"`,
		`, {"name": "w2", "key_sha256": "`+strings.Repeat("b", 64)+`"}`, ``).Replace(valid(t)))
	var lines []string
	for _, c := range config.Diff(from, to) {
		lines = append(lines, c.String())
	}
	g.Expect(lines).To(gomega.Equal([]string{
		`+ orders.services[stock].upstreams[s0]: {"address":"10.0.0.7:80","id":"s0","region":"east","zone":"a"}`,
		`+ models.engines[e1].checks_fence: true`,
		`~ models.engines[e1].zone: "b" -> "a"`,
		`- callers.workspaces[w2]: {"key_sha256":"` + strings.Repeat("b", 64) + `","name":"w2","priority":5,"weight":1}`,
	}))
	g.Expect(config.Diff(from, from)).To(gomega.BeEmpty())
}

// FuzzDecode guards against input that crashes the decoder, or that is accepted but not stable: an accepted document
// must decode to the same one after encoding, and must be refused or accepted together with its RawDocument.
func FuzzDecode(f *testing.F) {
	data, err := os.ReadFile("testdata/valid.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := config.Decode(data)
		if err != nil {
			if faults := err.(*config.InvalidError).Faults; len(faults) == 0 || doc != nil {
				t.Fatalf("refused without a fault: %q", data)
			}
			return
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := config.Decode(encoded)
		if err != nil {
			t.Fatalf("%q is accepted, its encoding %q refused: %v", data, encoded, err)
		}
		if diff := config.Diff(doc, again); len(diff) > 0 || doc.Version != again.Version {
			t.Fatalf("%q changes by encoding: %v", data, diff)
		}
		raw, err := config.ParseRawDocument(data)
		if err != nil {
			t.Fatalf("%q is accepted as a document, but not as a raw document: %v", data, err)
		}
		if _, err := raw.Document(); err != nil {
			t.Fatalf("%q is accepted as a document, but its raw document is refused: %v", data, err)
		}
	})
}

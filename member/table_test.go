package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rhubarbpoint/peer/peerpb"
)

// drawRecords returns random records of few keys, so that many of them compete.
func drawRecords(t *rapid.T) []entry {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) entry {
		seq := rapid.Uint64Range(0, 6).Draw(t, "seq")
		origin := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin")
		value := rapid.Uint32Range(0, 3).Draw(t, "value")
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			return memberEntry(&peerpb.Member{Id: origin, Seq: seq, ConfigVersion: int64(value)})
		case 1:
			return loadEntry(&peerpb.UpstreamLoad{Upstream: "u", Seq: seq, Reporter: origin, Running: value})
		case 2:
			return leavingEntry(&peerpb.UpstreamLeaving{Upstream: "u", Seq: seq, Origin: origin, EpochHash: uint64(value)})
		case 3:
			return zoneEntry(&peerpb.ZoneSummary{Zone: "z", Seq: seq, Origin: origin,
				Models: []*peerpb.ModelCapacity{{Engines: value}}})
		}
		return suspicionEntry(&peerpb.Suspicion{Fingerprint: []byte{1}, Seq: seq, Origin: origin, Crashes: value})
	}), 1, 20).Draw(t, "records")
}

// Guards against instances that hold different records after they have received the same ones in another order, more
// than once or through other instances, and against a record that replaces a newer one.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		inOrder, shuffled := newTable(), newTable()
		for _, e := range records {
			before := inOrder.entries[e.key]
			inOrder.merge(time.Time{}, "", e)
			if after := inOrder.entries[e.key]; before != nil && newer(before, after) {
				t.Fatalf("record %v was replaced by the older %v", before.msg, after.msg)
			}
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		for range 2 {
			random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			for _, e := range records {
				shuffled.merge(time.Time{}, "", e)
			}
		}
		if len(inOrder.entries) != len(shuffled.entries) {
			t.Fatalf("%d keys, but %d after merging in another order", len(inOrder.entries), len(shuffled.entries))
		}
		for k, e := range inOrder.entries {
			if !proto.Equal(e.msg, shuffled.entries[k].msg) {
				t.Fatalf("%v and %v after merging the same records", e.msg, shuffled.entries[k].msg)
			}
			if shuffled.merge(time.Time{}, "", *e) {
				t.Fatal("a known record counts as newer")
			}
		}
	})
}

// Guards against beats that count as a new sign of life when they arrive late or repeatedly.
func TestBeatsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p presence
		now, highest := time.Unix(0, 0), uint32(0)
		for _, beat := range rapid.SliceOf(rapid.Uint32Range(0, 600)).Draw(t, "beats") {
			now = now.Add(time.Second)
			expanded := p.expandBeat(uint8(beat))
			if expanded < p.beat || expanded-p.beat > 127 || (expanded != p.beat && uint8(expanded) != uint8(beat)) {
				t.Fatalf("beat %d expanded to %d at %d", beat, expanded, p.beat)
			}
			at := p.lastBeatAt
			if updated := p.observe(expanded, now); updated != (expanded > highest) || (!updated && p.lastBeatAt != at) {
				t.Fatalf("beat %d after %d: observe returned %t", expanded, highest, updated)
			}
			highest = max(highest, expanded)
		}
	})
}

// Guards against metrics that count the bytes of one kind of record under the name of another.
func TestKindsHaveTheirOwnNames(t *testing.T) {
	names := make(map[string]bool)
	for k := range kindCount {
		names[k.String()] = true
	}
	if names[""] || len(names) != int(kindCount) || kindPlanned.String() != "planned" || kindLoad.String() != "load" {
		t.Fatalf("names of kinds: %v", names)
	}
}

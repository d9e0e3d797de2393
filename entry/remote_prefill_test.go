package entry_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/entry"
	standin "rhubarbpoint/internal/standin/engine"
	"rhubarbpoint/route"
)

// splitRouter has e1 process the prompts that e2 decodes.
type splitRouter struct{ *entry.LeastInFlight }

func (splitRouter) Pick(time.Time, *route.Request) (route.Choice, error) {
	return route.Choice{EngineID: "e2", Address: "10.1.0.2:80", PrefillID: "e1", PrefillAddress: "10.1.0.1:80"}, nil
}

// Guards against a prompt that is processed twice although its KV cache was transferred, and against a request that
// fails because the prefill engine fails.
func TestRemotePrefill(t *testing.T) {
	split := func(f *fleet) { f.opts.Router = splitRouter{entry.NewLeastInFlight(f.opts.Document)} }
	prompt := strings.Repeat("word ", 40_000) // 50,000 tokens, 2.5 s of processing and 0.5 s of transfer
	inFleet(t, 2, split, func(f *fleet) {
		r := f.chat(true, prompt, 5)
		f.expectComplete(r, prompt, 5)
		moved := r.took
		f.Expect(moved).To(gomega.BeNumerically("<", 3200*time.Millisecond))
		for _, faults := range []standin.Faults{
			{FailExport: true}, {Frame: standin.FaultNoEnd, Streams: 1}, {Frame: standin.FaultBadTotal, Streams: 1},
		} {
			f.engine("e1").SetFaults(faults)
			f.expectComplete(f.chat(true, prompt+string(faults.Frame), 5), prompt+string(faults.Frame), 5)
		}
		f.engine("e1").SetFaults(standin.Faults{})
		f.engine("e2").SetFaults(standin.Faults{FailImport: true})
		f.expectComplete(f.chat(true, prompt, 5), prompt, 5)
		f.net.Kill("10.1.0.1:80")
		f.expectComplete(f.chat(true, prompt, 5), prompt, 5)
	})
}

// Guards against a trace record that lacks a field that a replay needs.
func TestTrace(t *testing.T) {
	var trace bytes.Buffer
	var file *entry.TraceFile
	record := func(f *fleet) {
		file = entry.NewTraceFile(&trace, nil)
		f.opts.Recorder = file
	}
	inFleet(t, 1, record, func(f *fleet) {
		f.chat(true, strings.Repeat("word ", 8000), 7, "Workload", "search", "Request-Deadline", "9000")
		f.Expect(file.Close()).To(gomega.Succeed())
		var r entry.Record
		f.Expect(json.Unmarshal(trace.Bytes(), &r)).To(gomega.Succeed())
		f.Expect(r.Prefix).To(gomega.HaveLen(2))
		f.Expect(r.PromptTokens).To(gomega.BeNumerically("~", 10_000, 10))
		r.Prefix, r.PromptTokens = nil, 0
		f.Expect(r).To(gomega.Equal(entry.Record{
			AtMillis: float64(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()), Workload: "search", Workspace: "shop",
			Model: "small", Region: r.Region, OutputTokens: 7, MaxTokens: 7, DeadlineMillis: 9000,
		}))
	})
}

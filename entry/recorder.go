package entry

import (
	"time"

	"rhubarbpoint/engine"
)

// Record describes a model request for a trace. Times are in milliseconds.
type Record struct {
	// ArrivalMillis counts from the start of the Unix epoch.
	ArrivalMillis int64  `json:"arrival_ms"`
	Workload      string `json:"workload"`
	Workspace     string `json:"workspace"`
	Model         string `json:"model"`
	PromptTokens  int    `json:"prompt_tokens"`
	// Blocks are the hashes of the prompt's prefixes, one for each full block of 4,000 tokens.
	Blocks       []uint64 `json:"blocks"`
	OutputTokens int      `json:"output_tokens"`
	// DeadlineMillis counts from the arrival.
	DeadlineMillis int64 `json:"deadline_ms"`
}

// Recorder keeps records. Implementations are safe for concurrent use and do not block.
type Recorder interface {
	Record(r Record)
}

const (
	defaultWorkload = "chat"
	maxWorkload     = 64
)

// record hands a finished request to the recorder.
func (s *Server) record(c *call, workload string, g *generation) {
	if s.opts.Recorder == nil {
		return
	}
	if workload == "" || len(workload) > maxWorkload {
		workload = defaultWorkload
	}
	prompt := engine.NewPrompt(g.req.Model, g.whole.Version(), g.req.Messages)
	s.opts.Recorder.Record(Record{
		ArrivalMillis: c.arrived.UnixMilli(), Workload: workload, Workspace: c.workspace.Name, Model: g.req.Model,
		PromptTokens: prompt.Tokens, Blocks: append([]uint64{}, prompt.Pieces...), OutputTokens: len(g.whole.Delivered()),
		DeadlineMillis: c.deadline.Sub(c.arrived).Round(time.Millisecond).Milliseconds(),
	})
}

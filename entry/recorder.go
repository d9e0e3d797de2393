package entry

import (
	"strconv"
	"time"

	"rhubarbpoint/engine"
)

// Record describes a chat completion in the trace format of docs/traces.md.
type Record struct {
	// AtMillis is the time of arrival in Unix milliseconds.
	AtMillis     float64 `json:"at_ms"`
	Workload     string  `json:"workload"`
	Workspace    string  `json:"workspace"`
	Model        string  `json:"model"`
	Region       string  `json:"region"`
	PromptTokens int     `json:"prompt_tokens"`
	// Prefix lists the hashes of the prompt's prefixes, one for each full block of 4,000 tokens, in hexadecimal.
	Prefix []string `json:"prefix,omitempty"`
	// OutputTokens is the length of the completion, or MaxTokens if the request got no token.
	OutputTokens int `json:"output_tokens"`
	MaxTokens    int `json:"max_tokens"`
	// DeadlineMillis is the time from the arrival to the deadline.
	DeadlineMillis float64 `json:"deadline_ms"`
}

// Recorder stores records. Implementations are safe for concurrent use and do not block.
type Recorder interface {
	Record(r Record)
}

const (
	defaultWorkload   = "chat"
	maxWorkloadLength = 64
)

// recordTrace passes a finished request to the recorder, if there is one.
func (s *Server) recordTrace(info *requestInfo, workload string, g *generation) {
	if s.opts.Recorder == nil {
		return
	}
	if workload == "" || len(workload) > maxWorkloadLength {
		workload = defaultWorkload
	}
	prompt := engine.NewPrompt(g.req.Model, g.assembler.Version(), g.req.Messages)
	r := Record{
		AtMillis: float64(info.arrived.UnixMilli()), Workload: workload, Workspace: info.workspace.Name, Model: g.req.Model,
		Region: s.opts.Region, PromptTokens: prompt.Tokens, OutputTokens: len(g.assembler.Delivered()),
		MaxTokens:      g.req.MaxTokens,
		DeadlineMillis: float64(info.deadline.Sub(info.arrived).Round(time.Millisecond).Milliseconds()),
	}
	if r.OutputTokens == 0 {
		r.OutputTokens = r.MaxTokens
	}
	for _, hash := range prompt.PrefixHashes {
		r.Prefix = append(r.Prefix, strconv.FormatUint(hash, 16))
	}
	s.opts.Recorder.Record(r)
}

package bench

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// Request is one line of a trace. docs/traces.md describes the format.
type Request struct {
	AtMS         float64  `json:"at_ms"`
	Workload     string   `json:"workload"`
	Workspace    string   `json:"workspace"`
	Model        string   `json:"model"`
	Region       string   `json:"region"`
	PromptTokens int      `json:"prompt_tokens"`
	Prefix       []string `json:"prefix,omitempty"`
	OutputTokens int      `json:"output_tokens"`
	MaxTokens    int      `json:"max_tokens,omitempty"`
	DeadlineMS   float64  `json:"deadline_ms"`

	prefixHashes []uint64
}

func (r *Request) arrival() time.Duration { return time.Duration(r.AtMS * float64(time.Millisecond)) }
func (r *Request) deadline() time.Duration {
	return time.Duration(r.DeadlineMS * float64(time.Millisecond))
}

// check returns the first error of a request, or fills in MaxTokens if it is too small and parses the prefix hashes.
func (r *Request) check() error {
	switch {
	case r.AtMS < 0:
		return errors.Newf("at_ms is %g, must not be negative", r.AtMS)
	case r.PromptTokens < 1:
		return errors.Newf("prompt_tokens is %d, must be at least 1", r.PromptTokens)
	case r.OutputTokens < 1:
		return errors.Newf("output_tokens is %d, must be at least 1", r.OutputTokens)
	case r.DeadlineMS <= 0:
		return errors.Newf("deadline_ms is %g, must be positive", r.DeadlineMS)
	case len(r.Prefix) > r.PromptTokens/engine.BlockTokens:
		return errors.Newf("prefix has %d hashes for %d prompt tokens, at most one for each %d tokens is allowed", len(r.Prefix), r.PromptTokens, engine.BlockTokens)
	case r.Region == "" || r.Model == "" || r.Workspace == "":
		return errors.Newf("region %q, model %q or workspace %q is empty", r.Region, r.Model, r.Workspace)
	}
	if r.MaxTokens < r.OutputTokens {
		r.MaxTokens = 16
		for r.MaxTokens < r.OutputTokens {
			r.MaxTokens *= 2
		}
	}
	r.prefixHashes = make([]uint64, len(r.Prefix))
	for i, text := range r.Prefix {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return errors.Newf("prefix hash %q is not a 64-bit hexadecimal number", text)
		}
		r.prefixHashes[i] = hash
	}
	return nil
}

// ReadTrace reads a trace with one JSON object per line, in any order. The requests are sorted by arrival. Recorded
// traces are converted to the benchmark's times, regions and model.
func ReadTrace(in io.Reader) ([]Request, error) {
	var requests []Request
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for number := 1; lines.Scan(); number++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var r Request
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errors.Wrapf(err, "bench: trace line %d", number)
		}
		if err := r.check(); err != nil {
			return nil, errors.Wrapf(err, "bench: trace line %d", number)
		}
		requests = append(requests, r)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "bench: read trace")
	}
	if len(requests) == 0 {
		return nil, errors.New("bench: trace is empty")
	}
	slices.SortStableFunc(requests, func(a, b Request) int {
		switch {
		case a.AtMS < b.AtMS:
			return -1
		case a.AtMS > b.AtMS:
			return 1
		}
		return 0
	})
	return requests, normalize(requests)
}

// normalize converts recorded requests, in order of arrival, to those of the benchmark. Times since the Unix epoch
// become relative to the first arrival, unknown regions become r1 to r3 in order of their names, and all requests get
// the same model.
func normalize(requests []Request) error {
	var names []string
	for i := range requests {
		names = append(names, requests[i].Region)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.ContainsFunc(names, func(name string) bool { return !isRegionName(name) }) {
		if len(names) > Regions {
			return errors.Newf("bench: trace has %d regions, at most %d can be replayed", len(names), Regions)
		}
		for i := range requests {
			requests[i].Region = RegionName(slices.Index(names, requests[i].Region))
		}
	}
	start := requests[0].AtMS
	for i := range requests {
		if start >= minEpochMillis {
			requests[i].AtMS -= start
		}
		requests[i].Model = modelName
	}
	return nil
}

// minEpochMillis is the smallest time of the first arrival, in milliseconds, that counts as a time since the Unix
// epoch. It is in 1970.
const minEpochMillis = 1e10

// WriteTrace writes a trace in the format that ReadTrace reads.
func WriteTrace(out io.Writer, requests []Request) error {
	encoder := json.NewEncoder(out)
	for i := range requests {
		if err := encoder.Encode(&requests[i]); err != nil {
			return errors.Wrap(err, "bench: write trace")
		}
	}
	return nil
}

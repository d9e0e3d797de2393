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

	pieces []uint64
}

func (r *Request) at() time.Duration { return time.Duration(r.AtMS * float64(time.Millisecond)) }
func (r *Request) deadline() time.Duration {
	return time.Duration(r.DeadlineMS * float64(time.Millisecond))
}

// check fills in defaults and reports the first error of a line.
func (r *Request) check() error {
	switch {
	case r.AtMS < 0:
		return errors.New("at_ms is negative")
	case r.PromptTokens < 1:
		return errors.New("prompt_tokens is below 1")
	case r.OutputTokens < 1:
		return errors.New("output_tokens is below 1")
	case r.DeadlineMS <= 0:
		return errors.New("deadline_ms is not positive")
	case len(r.Prefix) > r.PromptTokens/engine.BlockTokens:
		return errors.Newf("prefix has more than one hash for each %d prompt tokens", engine.BlockTokens)
	case r.Region == "" || r.Model == "" || r.Workspace == "":
		return errors.New("region, model or workspace is empty")
	}
	if r.MaxTokens < r.OutputTokens {
		r.MaxTokens = 16
		for r.MaxTokens < r.OutputTokens {
			r.MaxTokens *= 2
		}
	}
	r.pieces = make([]uint64, len(r.Prefix))
	for i, text := range r.Prefix {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return errors.Newf("prefix %q is not a 64-bit hexadecimal number", text)
		}
		r.pieces[i] = hash
	}
	return nil
}

// ReadTrace reads a trace of one JSON object for each line. The order of lines does not matter.
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
		return nil, errors.Wrap(err, "bench: trace")
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

// normalize turns recorded requests, in order of arrival, into ones of the benchmark: times count from the first
// arrival if they are those of the Unix epoch, the regions become r1 to r3 in order of their names, and there is one
// model.
func normalize(requests []Request) error {
	var names []string
	for i := range requests {
		names = append(names, requests[i].Region)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.ContainsFunc(names, func(name string) bool { return !knownRegion(name) }) {
		if len(names) > Regions {
			return errors.Newf("bench: trace has %d regions, at most %d can be replayed", len(names), Regions)
		}
		for i := range requests {
			requests[i].Region = RegionName(slices.Index(names, requests[i].Region))
		}
	}
	start := requests[0].AtMS
	for i := range requests {
		if start >= epochTimes {
			requests[i].AtMS -= start
		}
		requests[i].Model = modelName
	}
	return nil
}

// epochTimes is the arrival time in milliseconds from which times count as those of the Unix epoch, in 1970.
const epochTimes = 1e10

// WriteTrace writes a trace that ReadTrace reads.
func WriteTrace(out io.Writer, requests []Request) error {
	encoder := json.NewEncoder(out)
	for i := range requests {
		if err := encoder.Encode(&requests[i]); err != nil {
			return errors.Wrap(err, "bench: trace")
		}
	}
	return nil
}

// Package explain holds the question how an instance would serve a request, and the answer, as the operator interface
// transfers them. Package entry answers.
package explain

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
)

const (
	// maxSegments is far above the segments of any prompt.
	maxSegments = 10_000
	// maxTokens is far above the length of any prompt. It keeps sums within an int.
	maxTokens = 1 << 30
	// maxDeadline is the longest deadline, as for requests.
	maxDeadline = 1_000_000 * time.Second
)

// ErrInvalid marks the errors of requests that cannot be explained.
var ErrInvalid = errors.New("explain: invalid request")

// Request describes a request of a caller. It carries no key: the workspace is given by name.
type Request struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Workspace is the name of the caller's workspace, empty for a request without a key.
	Workspace    string    `json:"workspace,omitempty"`
	PromptTokens int       `json:"prompt_tokens,omitempty"`
	Segments     []Segment `json:"segments,omitempty"`
	// DeadlineMs is how long the caller waits, 0 for a request that does not say.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
}

// ParseRequest parses and checks the JSON form. It accepts no unknown fields, so that a misspelled one has no silent
// effect.
func ParseRequest(data []byte) (*Request, error) {
	in := json.NewDecoder(bytes.NewReader(data))
	in.DisallowUnknownFields()
	var r Request
	if err := in.Decode(&r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "request"), ErrInvalid)
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidf("request: text after the JSON object")
	}
	return &r, r.Check()
}

// Check returns an error marked ErrInvalid if the request is not valid.
func (r *Request) Check() error {
	switch {
	case r.Host == "":
		return invalidf("host is missing")
	case !strings.HasPrefix(r.Path, "/"):
		return invalidf("path must begin with a slash, got %q", r.Path)
	case r.PromptTokens < 0 || r.PromptTokens > maxTokens:
		return invalidf("prompt_tokens must be from 0 to %d, got %d", maxTokens, r.PromptTokens)
	case r.DeadlineMs < 0 || r.DeadlineMs > maxDeadline.Milliseconds():
		return invalidf("deadline_ms must be from 0 to %d, got %d", maxDeadline.Milliseconds(), r.DeadlineMs)
	case len(r.Segments) > maxSegments:
		return invalidf("more than %d segments", maxSegments)
	}
	for _, s := range r.Segments {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// Prompt returns the prompt of a valid request. If only segments are given, the prompt consists of them.
func (r *Request) Prompt() relay.Prompt {
	p, sum := relay.Prompt{Tokens: r.PromptTokens}, 0
	for _, s := range r.Segments {
		id, _ := s.number()
		p.Segments, sum = append(p.Segments, relay.PromptSegment{ID: id, Tokens: s.Tokens}), sum+s.Tokens
	}
	if p.Tokens == 0 {
		p.Tokens = sum
	}
	return p
}

func invalidf(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalid)
}

package explain

import (
	"strconv"
	"strings"
)

// Segment is a segment of a prompt. Its ID is that which requests carry, in hexadecimal.
type Segment struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// ParseSegments parses segments in the form ID:TOKENS,ID:TOKENS. An empty text has none.
func ParseSegments(text string) ([]Segment, error) {
	if text == "" {
		return nil, nil
	}
	var list []Segment
	for part := range strings.SplitSeq(text, ",") {
		id, count, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil {
			return nil, invalidf("a segment must have the form ID:TOKENS, got %q", part)
		}
		segment := Segment{id, tokens}
		if err := segment.check(); err != nil {
			return nil, err
		}
		list = append(list, segment)
	}
	return list, nil
}

func (s Segment) number() (uint64, error) { return strconv.ParseUint(s.ID, 16, 64) }

func (s Segment) check() error {
	if _, err := s.number(); err != nil {
		return invalidf("the ID of a segment must be a hexadecimal number of 64 bits, got %q", s.ID)
	}
	if s.Tokens < 0 || s.Tokens > maxTokens {
		return invalidf("the tokens of a segment must be from 0 to %d, got %d", maxTokens, s.Tokens)
	}
	return nil
}

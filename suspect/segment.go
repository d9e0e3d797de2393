package suspect

import "strconv"

// Segment identifies a segment of prompts by its content.
type Segment uint64

// String returns the segment in hexadecimal digits.
func (s Segment) String() string { return strconv.FormatUint(uint64(s), 16) }

// MarshalText implements encoding.TextMarshaler.
func (s Segment) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

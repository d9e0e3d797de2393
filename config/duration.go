package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time span, written in JSON as a string such as "1.1s" or "55ms".
type Duration time.Duration

// D returns the span as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the span in the notation of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the span as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a string in the notation of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Newf("want a duration such as %q", "1.1s")
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("want a duration such as %q, got %q", "1.1s", text)
	}
	*d = Duration(span)
	return nil
}

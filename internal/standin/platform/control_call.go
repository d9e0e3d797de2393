package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	wire "rhubarbpoint/platform"
)

// minHolderReturn is the least time between two calls of a holder with a call of another holder between them.
const minHolderReturn = 3 * time.Second

// ControlCall is one call that reached the control API. Either Usage or Scale is set.
type ControlCall struct {
	At     time.Time         `json:"at"`
	Holder string            `json:"holder"`
	Fence  int64             `json:"fence"`
	Usage  *wire.UsageReport `json:"usage,omitempty"`
	Scale  *wire.ScaleOrder  `json:"scale,omitempty"`
	// Status is the status of the answer, or 0 if the call got none.
	Status   int  `json:"status"`
	Executed bool `json:"executed"`
}

// decode sets the content of the call and reports whether it is valid.
func (c *ControlCall) decode(path string, body []byte) bool {
	switch path {
	case wire.PathUsage:
		c.Usage = &wire.UsageReport{}
		return json.Unmarshal(body, c.Usage) == nil
	case wire.PathScale:
		c.Scale = &wire.ScaleOrder{}
		return json.Unmarshal(body, c.Scale) == nil && c.Scale.Desired >= 0
	}
	return false
}

// subject returns what the call is about: within it, fencing tokens must not decrease.
func (c *ControlCall) subject() string {
	if c.Usage != nil {
		return "usage"
	}
	return fmt.Sprintf("scale %s in %s", c.Scale.Service, c.Scale.Zone)
}

// Violations returns which calls, in the order of their arrival, violate what the platform requires of the instances
// that perform duties. Calls that were not executed count too.
func Violations(calls []ControlCall) []string {
	var found []string
	fences := make(map[string]int64)   // by subject
	holders := make(map[int64]string)  // by fencing token
	last := make(map[string]time.Time) // by holder
	windows := make(map[int64]map[string]uint64)
	for i := range calls {
		call := &calls[i]
		report := func(format string, args ...any) {
			found = append(found, fmt.Sprintf("call %d by %s at %s: ", i, call.Holder, call.At.Format(time.StampMilli))+fmt.Sprintf(format, args...))
		}
		subject := call.subject()
		if call.Fence < fences[subject] {
			report("%s: fencing token %d after %d", subject, call.Fence, fences[subject])
		}
		fences[subject] = max(fences[subject], call.Fence)
		if other, used := holders[call.Fence]; used && other != call.Holder {
			report("fencing token %d of holder %s", call.Fence, other)
		}
		holders[call.Fence] = call.Holder
		if before, acted := last[call.Holder]; acted && calls[i-1].Holder != call.Holder && call.At.Sub(before) < minHolderReturn {
			report("returns %v after its last call, with holder %s between", call.At.Sub(before), calls[i-1].Holder)
		}
		last[call.Holder] = call.At
		if u := call.Usage; u != nil {
			if counts, sent := windows[u.Window]; sent && !maps.Equal(counts, u.Counts) {
				report("window %d with counts %v after %v", u.Window, u.Counts, counts)
			} else {
				windows[u.Window] = u.Counts
			}
		}
	}
	return found
}

package entry

import (
	"bytes"
	"strconv"
)

// eventSeparator ends a server-sent event.
var eventSeparator = []byte("\n\n")

// eventID returns the ID of a server-sent event, if it has a numeric one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// hasData reports whether a server-sent event has data, unlike a comment.
func hasData(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.Equal(line, []byte("data")) || bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

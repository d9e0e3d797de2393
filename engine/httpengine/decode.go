package httpengine

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// errCutFrame is a last line without line feed: its rest was lost, even if what is left can be decoded.
var errCutFrame = errors.New("httpengine: frame cut off")

// scanFrames splits a stream into lines that end with a line feed.
func scanFrames(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errCutFrame
	}
	return 0, nil, nil
}

// decodeFrame reads one line. It refuses frames with impossible numbers and those that are two things at once.
func decodeFrame(line []byte) (*engine.Frame, error) {
	var f engine.Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return nil, errors.Mark(err, engine.ErrCorrupt)
	}
	if f.Index < 0 || f.Total < 0 || f.PromptTokens < 0 || f.CachedTokens < 0 {
		return nil, errors.Mark(errors.New("httpengine: negative number in a frame"), engine.ErrCorrupt)
	}
	if (f.Keepalive && (f.End || f.Token != "")) || (f.End && f.Token != "") {
		return nil, errors.Mark(errors.New("httpengine: frame of two kinds"), engine.ErrCorrupt)
	}
	return &f, nil
}

package httpengine

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// errTruncatedFrame reports a last line without a line feed: the frame was truncated, even if what is left can be
// decoded.
var errTruncatedFrame = errors.New("httpengine: truncated frame: no line feed at the end of the stream")

// scanFrames splits a stream into lines that end with a line feed.
func scanFrames(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncatedFrame
	}
	return 0, nil, nil
}

// decodeFrame decodes one line. It rejects frames with negative numbers and frames of more than one kind (token,
// keepalive or end).
func decodeFrame(line []byte) (*engine.Frame, error) {
	var f engine.Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return nil, errors.Mark(err, engine.ErrCorrupt)
	}
	if f.Index < 0 || f.Total < 0 || f.PromptTokens < 0 || f.CachedTokens < 0 {
		return nil, errors.Mark(errors.Newf("httpengine: negative number in a frame: index %d, total %d, prompt_tokens %d, cached_tokens %d",
			f.Index, f.Total, f.PromptTokens, f.CachedTokens), engine.ErrCorrupt)
	}
	if (f.Keepalive && (f.End || f.Token != "")) || (f.End && f.Token != "") {
		return nil, errors.Mark(errors.New("httpengine: frame of more than one kind (token, keepalive or end)"), engine.ErrCorrupt)
	}
	return &f, nil
}

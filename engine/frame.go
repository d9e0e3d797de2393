package engine

// Frame is one message of a response stream. A frame without token and without End is a keepalive.
type Frame struct {
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	Version   string `json:"version"`
	// Index is the position of Token in the whole output, counted from 0 also in a resumed stream.
	Index     int    `json:"index"`
	Token     string `json:"token,omitempty"`
	Keepalive bool   `json:"keepalive,omitempty"`
	End       bool   `json:"end,omitempty"`
	// Total is the number of tokens of the whole output; it is set with End.
	Total        int    `json:"total,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	// Epoch is the engine's start epoch; it is set in the first frame of a stream, so that a crash can be distinguished
	// from a broken connection.
	Epoch string `json:"epoch,omitempty"`
}

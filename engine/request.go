package engine

import (
	"encoding/json"
	"time"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is one attempt of a generation request.
type Request struct {
	RequestID string    `json:"request_id"`
	Attempt   string    `json:"attempt"`
	Caller    string    `json:"caller"`
	Model     string    `json:"model"`
	Version   string    `json:"version"`
	Messages  []Message `json:"messages"`
	// MaxTokens bounds the whole output, delivered tokens included.
	MaxTokens int       `json:"max_tokens"`
	Priority  int       `json:"priority"`
	Deadline  time.Time `json:"deadline"`
	// Delivered holds the tokens already delivered to the caller; generation continues after them.
	Delivered []string `json:"delivered,omitempty"`
	// KV identifies imported KV cache of the prompt, if any.
	KV *KVHandle `json:"kv,omitempty"`
	// PrefillOnly makes the engine process the prompt and keep its KV cache for export, without generating.
	PrefillOnly bool `json:"prefill_only,omitempty"`
	// Params are the caller's sampling parameters, such as temperature, as it sent them.
	Params map[string]json.RawMessage `json:"params,omitempty"`
}

package engine

// KVHandle identifies the exported KV cache of a prompt.
type KVHandle struct {
	RequestID string `json:"request_id"`
	Address   string `json:"address"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Tokens    int    `json:"tokens"`
	Bytes     int64  `json:"bytes"`
}

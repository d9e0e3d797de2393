package engine

// BlockTokens is the number of tokens of one block of the prefix cache.
const BlockTokens = 4000

// CacheEvent reports that a prefix block was stored or evicted. The block is identified by the hash of the prefix that
// ends with it.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"piece"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is a batch of events. Lost is set when events between the requested sequence number and the first event
// are missing.
type CacheEvents struct {
	Epoch  string       `json:"epoch"`
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
	Lost   bool         `json:"lost,omitempty"`
}

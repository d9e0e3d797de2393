package engine

// BlockTokens is the number of tokens of one piece of the prefix cache.
const BlockTokens = 4000

// CacheEvent says that a piece of prefix, named by its hash, was stored or evicted.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"piece"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is a batch of events. Lost is set when events between the asked number and the first one are missing.
type CacheEvents struct {
	Epoch  string       `json:"epoch"`
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
	Lost   bool         `json:"lost,omitempty"`
}

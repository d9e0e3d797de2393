package bench

import (
	"time"

	"rhubarbpoint/engine"
)

// Times of the engine model. One step processes a chunk of prompt tokens and generates one token for each request in
// the batch.
const (
	// prefillRate is the prefill speed in prompt tokens/s of an engine that does nothing else.
	prefillRate = 20000
	// stepBase and stepSlope give the time of a step: 20 ms and 0.5 ms for each request in the batch.
	stepBase  = 0.020
	stepSlope = 0.0005
	// prefillOverhead replaces stepBase on prefill engines, which have no batch.
	prefillOverhead = 0.002
	roleChangeTime  = 5 * time.Second
	// kvTransferRate is the rate of KV cache transfers between two engines of a region, in bytes/s.
	kvTransferRate = 12.5e9
)

// engineParams are the parameters of an engine that depend on its role. A prefill engine processes prompts in chunks of
// a whole prefix block and uses its memory for the prefix cache. A decode engine processes small chunks, so that its
// steps stay short, and uses its memory for the batch. A mixed engine lies between the two.
type engineParams struct {
	chunkTokens int // largest number of prompt tokens in a step
	maxBatch    int // largest number of requests in the batch
	cacheBlocks int // size of the prefix cache, in blocks
	prefillOnly bool
}

func paramsFor(role engine.Role) engineParams {
	switch role {
	case engine.RolePrefill:
		return engineParams{chunkTokens: 4000, maxBatch: 0, cacheBlocks: 160, prefillOnly: true}
	case engine.RoleDecode:
		return engineParams{chunkTokens: 128, maxBatch: 64, cacheBlocks: 16}
	}
	return engineParams{chunkTokens: 512, maxBatch: 32, cacheBlocks: 80}
}

// stepSeconds returns the duration of a step in seconds.
func (p engineParams) stepSeconds(batch, tokens int) float64 {
	base := stepBase
	if p.prefillOnly {
		base = prefillOverhead
	}
	return base + stepSlope*float64(batch) + float64(tokens)/prefillRate
}

// prefillSpeed returns the prompt tokens/s of an engine that also decodes a batch of the given size.
func (p engineParams) prefillSpeed(batch int) float64 {
	return float64(p.chunkTokens) / p.stepSeconds(batch, p.chunkTokens)
}

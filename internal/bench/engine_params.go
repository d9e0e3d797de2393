package bench

import (
	"time"

	"rhubarbpoint/engine"
)

// The engine model: one step processes a chunk of prompts and gives one token to each request of the batch.
const (
	// prefillRate is in prompt tokens/s, with nothing else on the engine.
	prefillRate = 20000
	// stepBase and stepSlope give the time of a step: 20 ms and 0.5 ms for each request in the batch.
	stepBase  = 0.020
	stepSlope = 0.0005
	// prefillOverhead is the time of a step without batch beside its prompt tokens.
	prefillOverhead = 0.002
	changeTime      = 5 * time.Second
	// localKVRate is the rate of KV cache between two engines of a region, in bytes/s.
	localKVRate = 12.5e9
)

// speed is what depends on the role. An engine for prefill processes whole pieces of prompt and keeps its memory for
// the prefix cache; one for decode processes small chunks, so that its steps stay short, and keeps its memory for the
// batch; a mixed engine divides both.
type speed struct {
	chunk   int // prompt tokens in a step
	batch   int // requests in the batch
	pieces  int // size of the prefix cache
	prefill bool
}

func speedOf(role engine.Role) speed {
	switch role {
	case engine.RolePrefill:
		return speed{chunk: 4000, batch: 0, pieces: 160, prefill: true}
	case engine.RoleDecode:
		return speed{chunk: 128, batch: 64, pieces: 16}
	}
	return speed{chunk: 512, batch: 32, pieces: 80}
}

// step returns the time of a step in seconds.
func (s speed) step(batch, tokens int) float64 {
	base := stepBase
	if s.prefill {
		base = prefillOverhead
	}
	return base + stepSlope*float64(batch) + float64(tokens)/prefillRate
}

// rate returns the prompt tokens/s beside a batch.
func (s speed) rate(batch int) float64 { return float64(s.chunk) / s.step(batch, s.chunk) }

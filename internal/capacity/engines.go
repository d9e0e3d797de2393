package capacity

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/engine"
)

// fakeEngines returns synthetic load reports. Each engine's figures follow a slow sine wave, with noise that changes
// each second.
type fakeEngines struct{ engine.Client }

// Load implements engine.Client.
func (fakeEngines) Load(_ context.Context, addr string) (*engine.LoadReport, error) {
	now := time.Now()
	second := int(now.Unix())
	seed := int(xxhash.Sum64String(addr) >> 2)
	noise := func(k int) float64 { return float64(hash(seed+second, k)%1000)/1000 - 0.5 }
	wave := 0.6 + 0.3*math.Sin(float64(second+seed%600)/95)
	waiting := max(0, int(12*(wave-0.7)+4*noise(1)))
	return &engine.LoadReport{
		EngineID: addr, Epoch: addr, At: now, Role: engine.RoleMixed,
		Models:  []engine.LoadedModel{{Name: "model-" + string(rune('0'+seed%7)), Version: "2026-11-30"}},
		Running: int(64*wave + 6*noise(2)), Waiting: waiting, WaitingTokens: waiting * int(3000+2000*noise(3)),
		ArrivalsPerSecond: 6*wave + noise(4), PrefillTokensPerSecond: 20000 + 1500*noise(5),
		StepSeconds: 0.030 + 0.01*wave + 0.002*noise(6), KVUsed: min(1, wave+0.02*noise(7)), MaxRunning: 96,
	}, nil
}

// CacheEvents implements engine.Client.
func (fakeEngines) CacheEvents(context.Context, string, uint64) (*engine.CacheEvents, error) {
	return &engine.CacheEvents{}, nil
}

// hash is a hash of two numbers. It takes the place of a random number, so that runs are repeatable.
func hash(a, b int) uint64 {
	x := uint64(a)*0x9e3779b97f4a7c15 + uint64(b)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

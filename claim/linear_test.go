package claim

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rhubarbpoint/peer/peerpb"
)

// claimOp is one attempt to put a claim into the store: its key and token.
type claimOp struct {
	key   int
	token byte
}

// claimModel is a set of write-once registers, one for each key: the first claim is kept, and all attempts return it.
// An output of 0 is an attempt whose result is unknown.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[int][]porcupine.Operation)
		for _, o := range history {
			byKey[o.Input.(claimOp).key] = append(byKey[o.Input.(claimOp).key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return byte(0) },
	Step: func(state, input, output any) (bool, any) {
		current := state.(byte)
		if current == 0 {
			current = input.(claimOp).token
		}
		return output.(byte) == 0 || output.(byte) == current, current
	},
}

// recordHistory puts claims of two keys from four instances into the store at the given times, under store and network
// faults, and returns the operations.
func recordHistory(seed uint64, starts []time.Duration) []porcupine.Operation {
	sim := newSimulation(seed, make([]time.Duration, 4))
	defer sim.stop()
	sim.storeFaultRate, sim.netFaultRate = 0.3, 0.3
	random := rand.New(rand.NewPCG(seed, 6))
	keys := []key{mustKey(newKey(random, time.Now(), true)), mustKey(newKey(random, time.Now(), true))}
	operations := make([]porcupine.Operation, len(starts))
	var puts sync.WaitGroup
	for i, start := range starts {
		p, op := sim.procs[i%4], claimOp{key: i / 4 % 2, token: byte(i + 1)}
		puts.Go(func() {
			time.Sleep(start)
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			called := time.Now().UnixNano()
			a := &attempt{key: keys[op.key], token: [8]byte{op.token}, owner: p.id}
			current, err := p.claimer.putRecord(ctx, a.key, a.record(peerpb.ClaimState_CLAIM_STATE_CLAIMED))
			result := porcupine.Operation{ClientId: i, Input: op, Call: called, Output: byte(0), Return: math.MaxInt64}
			if err == nil {
				result.Output, result.Return = current.GetToken()[0], time.Now().UnixNano()
			}
			operations[i] = result
		})
	}
	puts.Wait()
	sim.clearFaults()
	time.Sleep(time.Minute)
	return operations
}

// TestClaimsAreLinearizable guards against two attempts that are both told that their claim is confirmed, and against
// attempts that are told of different claims of the same key. Attempts that timed out may take effect at any later
// time.
func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		starts := rapid.SliceOfN(durationRange(0, 15*time.Second), 8, 24).Draw(rt, "starts")
		var found []porcupine.Operation
		synctest.Test(t, func(*testing.T) { found = recordHistory(seed, starts) })
		gomega.NewWithT(rt).Expect(porcupine.CheckOperations(claimModel, found)).To(gomega.BeTrue())
	})
}

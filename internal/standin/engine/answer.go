package engine

import (
	"fmt"
	"hash/fnv"

	"rhubarbpoint/engine"
)

// Output returns the tokens that every stand-in engine generates for a request.
func Output(req *engine.Request) []string {
	seed := fnv.New64a()
	fmt.Fprint(seed, req.Model, "@", req.Version)
	for _, m := range req.Messages {
		fmt.Fprint(seed, "|", m.Role, ":", m.Content)
	}
	base := seed.Sum64()
	tokens := make([]string, req.MaxTokens)
	for i := range tokens {
		base = base*6364136223846793005 + 1442695040888963407
		tokens[i] = fmt.Sprintf("%04x ", base>>48)
	}
	return tokens
}

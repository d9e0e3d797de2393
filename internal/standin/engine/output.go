package engine

import (
	"fmt"
	"hash/fnv"

	"rhubarbpoint/engine"
)

// Output returns the tokens that every stand-in engine generates for a request, up to its limit.
func Output(req *engine.Request) []string {
	hash := fnv.New64a()
	fmt.Fprint(hash, req.Model, "@", req.Version)
	for _, m := range req.Messages {
		fmt.Fprint(hash, "|", m.Role, ":", m.Content)
	}
	state := hash.Sum64()
	tokens := make([]string, req.MaxTokens)
	for i := range tokens {
		state = state*6364136223846793005 + 1442695040888963407
		tokens[i] = fmt.Sprintf("%04x ", state>>48)
	}
	return tokens
}

package engine

import "github.com/cespare/xxhash/v2"

// bytesPerToken is the usual estimate for English text. Instances have no tokenizer of the engines' models.
const bytesPerToken = 4

// Prompt is what can be told of a prompt without the model's tokenizer.
type Prompt struct {
	// Tokens is an estimate, at least 1.
	Tokens int
	// PrefixHashes are the hashes of its prefixes, one for each full piece of PieceTokens estimated tokens.
	PrefixHashes []uint64
}

// NewPrompt measures the messages of a request. Prefixes of different models or versions never share a hash, because
// KV cache is not valid across versions.
func NewPrompt(model, version string, messages []Message) Prompt {
	digest := xxhash.New()
	digest.WriteString(model + "\x00" + version + "\x00")
	var prompt Prompt
	size, room := 0, BlockTokens*bytesPerToken
	add := func(text string) {
		size += len(text)
		for len(text) >= room {
			digest.WriteString(text[:room])
			prompt.PrefixHashes = append(prompt.PrefixHashes, digest.Sum64())
			text, room = text[room:], BlockTokens*bytesPerToken
		}
		digest.WriteString(text)
		room -= len(text)
	}
	for _, m := range messages {
		add("\x01" + m.Role + "\x02")
		add(m.Content)
	}
	prompt.Tokens = max(1, size/bytesPerToken)
	return prompt
}

package engine

import "github.com/cespare/xxhash/v2"

// bytesPerToken is the usual estimate for English text. Instances have no tokenizer of the engines' models.
const bytesPerToken = 4

// Prompt describes a prompt as far as possible without the model's tokenizer.
type Prompt struct {
	// Tokens is the estimated number of tokens, at least 1.
	Tokens int
	// PrefixHashes are the hashes of the prompt's prefixes, one for each full block of BlockTokens estimated tokens.
	PrefixHashes []uint64
}

// NewPrompt estimates the tokens of the messages of a request and hashes their prefixes. Prefixes of different models
// or versions never share a hash, because KV cache is not valid across versions.
func NewPrompt(model, version string, messages []Message) Prompt {
	digest := xxhash.New()
	digest.WriteString(model + "\x00" + version + "\x00")
	var prompt Prompt
	totalBytes, blockBytesLeft := 0, BlockTokens*bytesPerToken
	add := func(text string) {
		totalBytes += len(text)
		for len(text) >= blockBytesLeft {
			digest.WriteString(text[:blockBytesLeft])
			prompt.PrefixHashes = append(prompt.PrefixHashes, digest.Sum64())
			text, blockBytesLeft = text[blockBytesLeft:], BlockTokens*bytesPerToken
		}
		digest.WriteString(text)
		blockBytesLeft -= len(text)
	}
	for _, m := range messages {
		add("\x01" + m.Role + "\x02")
		add(m.Content)
	}
	prompt.Tokens = max(1, totalBytes/bytesPerToken)
	return prompt
}

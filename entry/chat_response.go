package entry

import "rhubarbpoint/stream"

// Bodies of chat completion responses, in the format of the OpenAI API.
type (
	chatCompletion struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
		// Fingerprint is the exact model version.
		Fingerprint string `json:"system_fingerprint,omitempty"`
	}
	chatChoice struct {
		Index        int       `json:"index"`
		Message      *chatText `json:"message,omitempty"`
		Delta        *chatText `json:"delta,omitempty"`
		FinishReason *string   `json:"finish_reason"`
	}
	chatText struct {
		Role    string  `json:"role,omitempty"`
		Content *string `json:"content,omitempty"`
	}
	chatUsage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		TotalTokens      int           `json:"total_tokens"`
		PromptDetails    promptDetails `json:"prompt_tokens_details"`
	}
	promptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)

func usageOf(assembler *stream.Assembler) *chatUsage {
	end, output := assembler.End(), len(assembler.Delivered())
	return &chatUsage{
		PromptTokens: end.PromptTokens, CompletionTokens: output, TotalTokens: end.PromptTokens + output,
		PromptDetails: promptDetails{end.CachedTokens},
	}
}

func finishReason(assembler *stream.Assembler) *string {
	reason := assembler.End().FinishReason
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

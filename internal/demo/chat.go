package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"rhubarbpoint/engine"
	"rhubarbpoint/internal/fleet"
	standin "rhubarbpoint/internal/standin/engine"
)

const maxLineBytes = 1 << 20

// Chat is one streamed request and the answer that it must get.
type Chat struct {
	Messages  []engine.Message
	MaxTokens int
}

// Want returns the whole answer of the stand-in engines.
func (c Chat) Want() string { return c.WantOf(fleet.ModelVersion) }

// WantOf returns the whole answer of a version.
func (c Chat) WantOf(version string) string {
	return strings.Join(standin.Output(&engine.Request{
		Model: fleet.ModelName, Version: version, Messages: c.Messages, MaxTokens: c.MaxTokens,
	}), "")
}

// Send posts the request to a caller listener and returns the text of the answer and whether it was whole. A refusal
// before the first byte of an answer comes back as status, any other failure as an error.
func (c Chat) Send(ctx context.Context, client *http.Client, address string) (text string, whole bool, status int, err error) {
	body, err := json.Marshal(map[string]any{
		"model": fleet.ModelName, "messages": c.Messages, "max_tokens": c.MaxTokens, "stream": true,
	})
	if err != nil {
		return "", false, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", false, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return "", false, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", false, resp.StatusCode, nil
	}
	text, whole, err = readEvents(resp)
	return text, whole, resp.StatusCode, err
}

func readEvents(resp *http.Response) (string, bool, error) {
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text.String(), false, err
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), false, lines.Err()
}

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

// Chat is one streamed chat request with a known correct output.
type Chat struct {
	Messages  []engine.Message
	MaxTokens int
}

// Want returns the complete output of the stand-in engines.
func (c Chat) Want() string { return c.WantForVersion(fleet.ModelVersion) }

// WantForVersion returns the complete output of the stand-in engines for a version of the model.
func (c Chat) WantForVersion(version string) string {
	return strings.Join(standin.Output(&engine.Request{
		Model: fleet.ModelName, Version: version, Messages: c.Messages, MaxTokens: c.MaxTokens,
	}), "")
}

// Send sends the request to a caller listener and returns the output, whether the response is complete, and its status.
// A refusal is reported by its status, any other failure by an error. The status is 0 if there is no response.
func (c Chat) Send(ctx context.Context, client *http.Client, address string) (text string, complete bool, status int, err error) {
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
	text, complete, err = readEvents(resp)
	return text, complete, resp.StatusCode, err
}

// readEvents returns the output of a streamed response and whether the response is complete.
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

package entry

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// chatMessage is one message of a request. Its content is a string or a list of text parts.
type chatMessage struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

type messageText string

// UnmarshalJSON joins text parts. It returns an error for other kinds of parts.
func (t *messageText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*t = messageText(text)
		return nil
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" || part.Text == nil {
			return errors.New("entry: only text parts are supported")
		}
		joined.WriteString(*part.Text)
	}
	*t = messageText(joined.String())
	return nil
}

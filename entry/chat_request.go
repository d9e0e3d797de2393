package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"rhubarbpoint/engine"
)

// chatRequest is the body of a chat completion.
type chatRequest struct {
	Model        string
	Messages     []engine.Message
	MaxTokens    int // 0 when not set
	Stream       bool
	IncludeUsage bool
	// Params holds all other fields, which are passed on to the engine.
	Params map[string]json.RawMessage
}

// unsupportedFields change the form of the response, so the server must not ignore them.
var unsupportedFields = []string{"tools", "tool_choice", "functions", "function_call", "logprobs", "top_logprobs", "audio",
	"modalities", "prediction", "web_search_options"}

var messageRoles = []string{"system", "developer", "user", "assistant"}

// decodeChat reads and checks a body.
func decodeChat(body []byte) (*chatRequest, *Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, badRequest("the body must be one JSON object")
	}
	d := fieldDecoder{fields: fields}
	var chat chatRequest
	var messages []chatMessage
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var maxTokens, maxCompletion *int
	n := 1
	d.decode("model", &chat.Model)
	d.decode("messages", &messages)
	d.decode("max_tokens", &maxTokens)
	d.decode("max_completion_tokens", &maxCompletion)
	d.decode("stream", &chat.Stream)
	d.decode("stream_options", &options)
	d.decode("n", &n)
	switch {
	case d.err != nil:
		return nil, d.err
	case n != 1:
		return nil, notRun(http.StatusBadRequest, codeUnsupported, "n must be 1")
	case chat.Model == "":
		return nil, badRequest("model must be set")
	case len(messages) == 0:
		return nil, badRequest("messages must have at least one message")
	}
	chat.IncludeUsage = options.IncludeUsage
	for _, limit := range []*int{maxTokens, maxCompletion} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return nil, badRequest("max_tokens and max_completion_tokens must be at least 1")
		}
		chat.MaxTokens = *limit
	}
	for i, m := range messages {
		if !slices.Contains(messageRoles, m.Role) {
			return nil, badRequest(fmt.Sprintf("messages[%d].role must be one of %s", i, strings.Join(messageRoles, ", ")))
		}
		chat.Messages = append(chat.Messages, engine.Message{Role: m.Role, Content: string(m.Content)})
	}
	for _, name := range unsupportedFields {
		if value, found := fields[name]; found && !isEmpty(value) {
			return nil, notRun(http.StatusBadRequest, codeUnsupported, name+" is not supported")
		}
		delete(fields, name)
	}
	if len(fields) > 0 {
		chat.Params = fields
	}
	return &chat, nil
}

// isEmpty reports whether a field has a value that means the same as no field.
func isEmpty(value json.RawMessage) bool {
	switch string(bytes.TrimSpace(value)) {
	case "null", "false", "[]", "0":
		return true
	}
	return false
}

func badRequest(message string) *Error { return notRun(http.StatusBadRequest, codeBadRequest, message) }

// fieldDecoder removes fields from an object, decodes them and keeps the first error.
type fieldDecoder struct {
	fields map[string]json.RawMessage
	err    *Error
}

func (d *fieldDecoder) decode(name string, into any) {
	value, found := d.fields[name]
	delete(d.fields, name)
	if !found || d.err != nil {
		return
	}
	if err := json.Unmarshal(value, into); err != nil {
		d.err = badRequest(name + " has the wrong type")
	}
}

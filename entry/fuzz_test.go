package entry

import (
	"encoding/json"
	"slices"
	"testing"

	"rhubarbpoint/claim"
)

// Guards against bodies that crash the decoder, that are accepted with invalid content, or whose error lacks its code
// or run state.
func FuzzDecodeChat(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"temperature":0.5}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`,
		`{"model":null,"messages":null,"n":null}`, `[]`, `null`, `{"max_tokens":1e9}`, "\xff", `{"messages":[[[[[[`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := decodeChat(body)
		if err != nil {
			if err.Status != 400 || err.Code == "" || err.Run != claim.NotRun || !json.Valid(err.body()) {
				t.Fatalf("unclear error %+v", err)
			}
			return
		}
		if chat.Model == "" || len(chat.Messages) == 0 || chat.MaxTokens < 0 {
			t.Fatalf("accepted %+v", chat)
		}
		for _, m := range chat.Messages {
			if !slices.Contains(messageRoles, m.Role) {
				t.Fatalf("accepted role %q", m.Role)
			}
		}
		if _, err := json.Marshal(chat.Params); err != nil {
			t.Fatalf("parameters cannot be encoded: %v", err)
		}
	})
}

// Package entry serves callers: chat completions on engines and plain services, with retries and resumption, so that
// each caller gets the whole answer to its own request.
package entry

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/google/uuid"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/stream"
)

// Server is the caller listener's handler. It is safe for concurrent use.
type Server struct {
	engines engine.Client
	doc     func() *config.Document
}

// NewServer returns a handler that routes by the document in force.
func NewServer(engines engine.Client, doc func() *config.Document) *Server {
	return &Server{engines: engines, doc: doc}
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	return mux
}

type chatRequest struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var chat chatRequest
	if err := json.NewDecoder(r.Body).Decode(&chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	doc := s.doc()
	req := &engine.Request{
		RequestID: uuid.NewString(), Attempt: "1", Model: chat.Model, Version: doc.Models.Models[0].Version,
		Messages: chat.Messages, MaxTokens: chat.MaxTokens,
	}
	answer, err := s.engines.Generate(r.Context(), doc.Models.Engines[0].Address, req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer answer.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	whole := stream.NewAssembler(req.RequestID, req.Version, req.MaxTokens)
	whole.Begin(req.Attempt)
	for !whole.Done() {
		frame, err := answer.Recv()
		if err != nil {
			return
		}
		fresh, err := whole.Add(frame)
		if err != nil {
			return
		}
		if fresh {
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", frame.Token)
			http.NewResponseController(w).Flush()
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

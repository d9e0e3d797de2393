package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"rhubarbpoint/config"
)

// headerWorkload names the kind of work for the trace; it has no effect on the response.
const headerWorkload = "Workload"

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, info *requestInfo) *Error {
	body, err := s.readBody(w, r, info)
	if err != nil {
		return err
	}
	chat, err := decodeChat(body)
	if err != nil {
		return err
	}
	g, err := s.newGeneration(info, chat)
	if err != nil {
		return err
	}
	defer s.recordTrace(info, r.Header.Get(headerWorkload), g)
	if chat.Stream {
		return s.streamChat(w, r, g, chat)
	}
	return s.bufferedChat(w, r, info, g)
}

func findModel(doc *config.Document, name string) (config.Model, bool) {
	i := slices.IndexFunc(doc.Models.Models, func(m config.Model) bool { return m.Name == name })
	if i < 0 {
		return config.Model{}, false
	}
	return doc.Models.Models[i], true
}

func (s *Server) bufferedChat(w http.ResponseWriter, r *http.Request, info *requestInfo, g *generation) *Error {
	if err := g.run(r.Context()); err != nil {
		return err
	}
	text := strings.Join(g.assembler.Delivered(), "")
	completion := g.completion("chat.completion")
	completion.Usage = usageOf(g.assembler)
	completion.Choices = []chatChoice{{Message: &chatText{"assistant", &text}, FinishReason: finishReason(g.assembler)}}
	body, _ := json.Marshal(completion)
	w.Header().Set("Content-Type", "application/json")
	info.holding.Add(int64(len(body)))
	writeBody(w, http.StatusOK, body, info.holding)
	return nil
}

func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, g *generation, chat *chatRequest) *Error {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	events := newEventStream(w, cancel)
	defer events.close()
	role := "assistant"
	send := func(choices []chatChoice, usage *chatUsage) error {
		chunk := g.completion("chat.completion.chunk")
		chunk.Choices, chunk.Usage = choices, usage
		body, _ := json.Marshal(chunk)
		return events.data(body)
	}
	g.deliver = func(token string) error {
		delta := &chatText{role, &token}
		role = ""
		return send([]chatChoice{{Delta: delta}}, nil)
	}
	if err := g.run(ctx); err != nil {
		return s.endStreamWithError(events, g, err)
	}
	err := send([]chatChoice{{Delta: &chatText{Role: role}, FinishReason: finishReason(g.assembler)}}, nil)
	if err == nil && chat.IncludeUsage {
		err = send([]chatChoice{}, usageOf(g.assembler))
	}
	if err == nil {
		err = events.data([]byte("[DONE]"))
	}
	if err != nil {
		s.metrics.callerGone.Inc(1)
	}
	return nil
}

// endStreamWithError sends the error as an event if the stream has started, or returns it if not.
func (s *Server) endStreamWithError(events *eventStream, g *generation, err *Error) *Error {
	events.close()
	if !events.hasStarted() {
		return err
	}
	s.reportFailure(context.Background(), g.req.RequestID, err)
	events.data(err.body())
	return nil
}

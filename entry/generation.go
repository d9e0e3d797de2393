package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/admit"
	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/pipeline"
	"rhubarbpoint/route"
	"rhubarbpoint/stream"
	"rhubarbpoint/suspect"
)

// generation runs one model request over as many attempts as it needs. It is for one goroutine.
type generation struct {
	s           *Server
	call        *call
	model       config.Model
	req         *engine.Request
	route       *route.Request
	whole       *stream.Assembler
	fingerprint suspect.Fingerprint
	// deliver hands a new token to the caller; nil while the answer is collected.
	deliver func(token string) error

	release func(now time.Time)
	// sent is set once an engine may have received the request.
	sent     bool
	request  pipeline.Request
	attempts int
	// repeated is set when an attempt has failed since the last placement.
	repeated   bool
	firstToken time.Time
	lastToken  time.Time
}

// newGeneration checks a request against its model.
func (s *Server) newGeneration(c *call, chat *chatRequest) (*generation, *Error) {
	model, found := findModel(c.doc, chat.Model)
	if !found {
		return nil, notRun(http.StatusNotFound, codeUnknownModel, fmt.Sprintf("no model has the name %q", chat.Model))
	}
	version := s.chooseVersion(&model)
	prompt := engine.NewPrompt(model.Name, version, chat.Messages)
	room := orDefault(model.ContextTokens, defaultContext) - prompt.Tokens
	maxTokens := chat.MaxTokens
	if maxTokens == 0 {
		maxTokens = min(defaultMaxTokens, room)
	}
	if room < 1 || maxTokens > room {
		return nil, notRun(http.StatusBadRequest, codeContext,
			fmt.Sprintf("the prompt of about %d tokens and the answer do not fit into the model's context", prompt.Tokens))
	}
	return &generation{
		s: s, call: c, model: model,
		req: &engine.Request{
			RequestID: c.id, Caller: c.workspace.Name, Model: model.Name, Messages: chat.Messages, MaxTokens: maxTokens,
			Priority: c.workspace.Priority, Deadline: c.deadline, Params: chat.Params,
		},
		route: &route.Request{
			ID: c.id, Model: model.Name, Version: version, PrefixHashes: prompt.Pieces, PromptTokens: prompt.Tokens,
			MaxTokens: maxTokens, Deadline: c.deadline, Deprioritized: make(map[string]bool),
		},
		request: pipeline.Request{
			Repeatable: true, MaxRetries: maxCharged, MaxPlacementWait: noEngineWait, Budget: s.opts.Budget,
		},
		whole:       stream.NewAssembler(c.id, version, maxTokens),
		fingerprint: suspect.ChatFingerprint(c.workspace.Name, model.Name, chat.Messages),
	}, nil
}

func (g *generation) completion(object string) chatCompletion {
	return chatCompletion{
		ID: "chatcmpl-" + g.call.id, Object: object, Created: g.call.arrived.Unix(), Model: g.model.Name,
		Fingerprint: g.whole.Version(),
	}
}

// run makes attempts until the answer is whole or the request has failed.
func (g *generation) run(ctx context.Context) *Error {
	defer g.s.flights.remove(g.req.RequestID)
	defer func() {
		if g.release != nil {
			g.release(time.Now())
		}
	}()
	err := pipeline.Run(ctx, &g.request, g, func() {
		g.s.metrics.retries.Inc(1)
		g.repeated = true
	})
	if err == nil {
		g.s.expected.add(g.model.Name, len(g.whole.Delivered()), g.lastToken.Sub(g.firstToken))
		return nil
	}
	return g.failure(ctx, err)
}

// mark says what the pipeline may do after an error.
func (g *generation) mark(err error) error {
	resumes := len(g.whole.Delivered()) > 0
	switch {
	case errors.Is(err, suspect.ErrRefused), errors.Is(err, admit.ErrOverShare), errors.Is(err, admit.ErrTooLate),
		errors.Is(err, route.ErrTooLate) && !resumes:
		return errors.Mark(err, pipeline.ErrFinal)
	case errors.Is(err, route.ErrNoEngine), errors.Is(err, route.ErrTooLate):
		return errors.Mark(err, pipeline.ErrNoUpstream)
	case errors.Is(err, engine.ErrDraining), errors.Is(err, engine.ErrUnknownModel):
		return errors.Mark(err, pipeline.ErrPlannedRefusal)
	}
	return err
}

// failure returns what the caller is told of the last error.
func (g *generation) failure(ctx context.Context, err error) *Error {
	if final := ended(ctx, g.sent); final != nil {
		return final
	}
	var told *Error
	switch {
	case errors.As(err, &told):
		return told
	case errors.Is(err, suspect.ErrRefused):
		return failure(g.sent, http.StatusUnprocessableEntity, codeSuspect, "the request has crashed several engines")
	case errors.Is(err, admit.ErrOverShare):
		return failure(g.sent, http.StatusTooManyRequests, codeOverShare, "the workspace is over its share")
	case errors.Is(err, pipeline.ErrNoUpstream), errors.Is(err, pipeline.ErrPlannedRefusal):
		return failure(g.sent, http.StatusServiceUnavailable, codeNoEngine,
			"no engine has version "+g.whole.Version()+" of the model")
	case errors.Is(err, admit.ErrTooLate), errors.Is(err, route.ErrTooLate):
		return failure(g.sent, http.StatusServiceUnavailable, codeTooLate, "the answer cannot be ready by the deadline")
	case errors.Is(err, engine.ErrOverloaded):
		return failure(g.sent, http.StatusServiceUnavailable, codeOverloaded, "the engines take no more requests")
	}
	return failure(g.sent, http.StatusBadGateway, codeRetries, "the request failed on every engine that was tried")
}

// refreshVersion moves a request without tokens to the version in force, because the old one may be unloaded.
func (g *generation) refreshVersion() *Error {
	if len(g.whole.Delivered()) > 0 {
		return nil
	}
	model, found := findModel(g.s.opts.Document(), g.model.Name)
	if !found {
		return failure(g.sent, http.StatusNotFound, codeUnknownModel, "the model was removed")
	}
	if version := g.s.chooseVersion(&model); version != g.whole.Version() {
		g.whole.SetVersion(version)
		g.route.Version = version
		g.route.PrefixHashes = engine.NewPrompt(model.Name, version, g.req.Messages).Pieces
	}
	return nil
}

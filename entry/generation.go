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

// generation runs one chat completion with as many attempts as it needs. It is for one goroutine.
type generation struct {
	server      *Server
	info        *requestInfo
	model       config.Model
	req         *engine.Request
	route       *route.Request
	assembler   *stream.Assembler
	fingerprint suspect.Fingerprint
	// segments are those of the prompt that other requests can share.
	segments []suspect.Segment
	// segmentTrial is set if the next attempt may be made although a segment is refused.
	segmentTrial bool
	// deliver passes a new token to the caller; nil if the completion is sent in one response.
	deliver func(token string) error

	releaseAdmission func(now time.Time)
	// sent is set once an engine may have received the request.
	sent     bool
	request  pipeline.Request
	attempts int
	// retrying is set from the first retry on.
	retrying   bool
	firstToken time.Time
	lastToken  time.Time
}

// newGeneration checks a request against its model and prepares its completion.
func (s *Server) newGeneration(info *requestInfo, chat *chatRequest) (*generation, *Error) {
	model, found := findModel(info.doc, chat.Model)
	if !found {
		return nil, notRun(http.StatusNotFound, codeUnknownModel, fmt.Sprintf("no model has the name %q", chat.Model))
	}
	version := s.chooseVersion(&model)
	prompt := engine.NewPrompt(model.Name, version, chat.Messages)
	availableTokens := orDefault(model.ContextTokens, defaultContextTokens) - prompt.Tokens
	maxTokens := chat.MaxTokens
	if maxTokens == 0 {
		maxTokens = min(defaultMaxTokens, availableTokens)
	}
	if availableTokens < 1 || maxTokens > availableTokens {
		return nil, notRun(http.StatusBadRequest, codeContextTooLong,
			fmt.Sprintf("the prompt of about %d tokens and the answer do not fit into the model's context", prompt.Tokens))
	}
	return &generation{
		server: s, info: info, model: model,
		req: &engine.Request{
			RequestID: info.id, Caller: info.workspace.Name, Model: model.Name, Messages: chat.Messages, MaxTokens: maxTokens,
			Priority: info.workspace.Priority, Deadline: info.deadline, Params: chat.Params,
		},
		route: &route.Request{
			ID: info.id, Model: model.Name, Version: version, PrefixHashes: prompt.PrefixHashes, PromptTokens: prompt.Tokens,
			MaxTokens: maxTokens, Deadline: info.deadline, Deprioritized: make(map[string]bool),
		},
		request: pipeline.Request{
			Repeatable: true, MaxRetries: maxRetries, MaxPlacementWait: noEngineWait, Budget: s.opts.Budget,
		},
		assembler:   stream.NewAssembler(info.id, version, maxTokens),
		fingerprint: suspect.ChatFingerprint(info.workspace.Name, model.Name, chat.Messages),
		segments:    chatSegments(model.Name, chat.Messages),
	}, nil
}

func (g *generation) completion(object string) chatCompletion {
	return chatCompletion{
		ID: "chatcmpl-" + g.info.id, Object: object, Created: g.info.arrived.Unix(), Model: g.model.Name,
		Fingerprint: g.assembler.Version(),
	}
}

// run makes attempts until the completion is finished or the request has failed.
func (g *generation) run(ctx context.Context) *Error {
	defer g.server.inFlightRequests.remove(g.req.RequestID)
	defer func() {
		if g.releaseAdmission != nil {
			g.releaseAdmission(time.Now())
		}
	}()
	err := pipeline.Run(ctx, &g.request, g, func() {
		g.server.metrics.retries.Inc(1)
		g.retrying = true
	})
	if err == nil {
		g.server.estimates.observe(g.model.Name, len(g.assembler.Delivered()), g.lastToken.Sub(g.firstToken))
		return nil
	}
	return g.callerError(ctx, err)
}

// mark marks an error with what the pipeline may do next.
func (g *generation) mark(err error) error {
	resumes := len(g.assembler.Delivered()) > 0
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

// callerError returns the error for the caller after the last attempt failed with err.
func (g *generation) callerError(ctx context.Context, err error) *Error {
	if final := contextError(ctx, g.sent); final != nil {
		return final
	}
	var callerErr *Error
	switch {
	case errors.As(err, &callerErr):
		return callerErr
	case errors.Is(err, suspect.ErrRefused):
		return failure(g.sent, http.StatusUnprocessableEntity, codeSuspectRefused, "the request or a message of it has crashed several engines")
	case errors.Is(err, admit.ErrOverShare):
		return failure(g.sent, http.StatusTooManyRequests, codeOverShare, "the workspace is over its share")
	case errors.Is(err, pipeline.ErrNoUpstream), errors.Is(err, pipeline.ErrPlannedRefusal):
		return failure(g.sent, http.StatusServiceUnavailable, codeNoEngine,
			"no engine has version "+g.assembler.Version()+" of the model")
	case errors.Is(err, admit.ErrTooLate), errors.Is(err, route.ErrTooLate):
		return failure(g.sent, http.StatusServiceUnavailable, codeTooLate, "the answer cannot be ready by the deadline")
	case errors.Is(err, engine.ErrOverloaded):
		return failure(g.sent, http.StatusServiceUnavailable, codeOverloaded, "the engines take no more requests")
	}
	return failure(g.sent, http.StatusBadGateway, codeRetriesExhausted, "the request failed on every engine that was tried")
}

// refreshVersion moves a request without tokens to the version in force, because its version may have been unloaded.
func (g *generation) refreshVersion() *Error {
	if len(g.assembler.Delivered()) > 0 {
		return nil
	}
	model, found := findModel(g.server.opts.Document(), g.model.Name)
	if !found {
		return failure(g.sent, http.StatusNotFound, codeUnknownModel, "the model was removed")
	}
	if version := g.server.chooseVersion(&model); version != g.assembler.Version() {
		g.assembler.SetVersion(version)
		g.route.Version = version
		g.route.PrefixHashes = engine.NewPrompt(model.Name, version, g.req.Messages).PrefixHashes
	}
	return nil
}

package authority

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
)

var (
	_ peer.Handler = (*Gate)(nil).HandleRegisterFence
	_ peer.Handler = (*Gate)(nil).HandleForwardOrder
)

// gateError is a gate's error with the code that is sent to the holder.
type gateError struct {
	code  string
	cause error
}

func newGateError(code string, cause error) error { return &gateError{code: code, cause: cause} }

// Error implements error.
func (e *gateError) Error() string {
	if e.cause == nil {
		return "authority: gate: " + e.code
	}
	return "authority: gate: " + e.code + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *gateError) Unwrap() error { return e.cause }

// HandleRegisterFence sets the fencing token of a new term for an engine. It succeeds only when no order to the engine
// is in flight. It is the peer.Handler of RegisterFence calls; it returns its errors as messages in the response.
func (g *Gate) HandleRegisterFence(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	fence := req.GetRegisterFence()
	if fence.GetEngine() == "" || fence.GetRegion() != g.opts.Region {
		return errorResponse(newGateError(codeBadOrder, nil)), nil
	}
	if err := g.registerFence(ctx, fence.GetEngine(), fence.GetFence()); err != nil {
		return errorResponse(err), nil
	}
	return &peerpb.Response{Result: &peerpb.Response_Empty{Empty: &peerpb.Empty{}}}, nil
}

// HandleForwardOrder checks an order and sends it to its engine. It is the peer.Handler of ForwardOrder calls; it
// returns its errors as messages in the response. With every code except "unknown", the engine has not run the order
// and never will.
func (g *Gate) HandleForwardOrder(ctx context.Context, from string, req *peerpb.Request) (*peerpb.Response, error) {
	order := req.GetForwardOrder()
	if order.GetEngine() == "" || order.GetAddress() == "" || order.GetRegion() != g.opts.Region {
		return errorResponse(newGateError(codeBadOrder, nil)), nil
	}
	result, err := g.forwardOrder(ctx, order)
	if err != nil {
		g.stats.gateRefused.Inc(1)
		eventOrderRefused.Log(ctx, g.opts.Logger, slog.String("engine", order.GetEngine()),
			slog.String("order", order.GetOrderId()), slog.String("from", from), slog.Any("error", err))
		return errorResponse(err), nil
	}
	return &peerpb.Response{Result: &peerpb.Response_Order{Order: &peerpb.OrderResult{Applied: result.Applied}}}, nil
}

// errorResponse returns a response with an error message. Errors other than a gateError get codeUnknown.
func errorResponse(err error) *peerpb.Response {
	code := codeUnknown
	var coded *gateError
	if errors.As(err, &coded) {
		code = coded.code
	}
	return &peerpb.Response{Result: &peerpb.Response_Error{Error: &peerpb.Error{Code: code, Message: err.Error()}}}
}

// orderFromMessage converts a ForwardOrder message to the order that is sent to the engine.
func orderFromMessage(m *peerpb.ForwardOrder) *engine.Order {
	return &engine.Order{
		ID: m.GetOrderId(), Fence: m.GetFence(), Kind: engine.OrderKind(m.GetKind()), Role: engine.Role(m.GetRole()),
		Model: m.GetModel(), Version: m.GetVersion(), Adapter: m.GetAdapter(),
	}
}

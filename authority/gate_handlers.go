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

// gateError is a gate's refusal with the code that goes to the holder.
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

// Unwrap returns the cause.
func (e *gateError) Unwrap() error { return e.cause }

// HandleRegisterFence sets the fencing number of a new term for an engine. It answers only when no order is in flight
// there. It is the peer.Handler of RegisterFence calls; its errors are messages in the response.
func (g *Gate) HandleRegisterFence(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	fence := req.GetRegisterFence()
	if fence.GetEngine() == "" || fence.GetRegion() != g.opts.Region {
		return errorResponse(newGateError(codeBadOrder, nil)), nil
	}
	if err := g.register(ctx, fence.GetEngine(), fence.GetFence()); err != nil {
		return errorResponse(err), nil
	}
	return &peerpb.Response{Result: &peerpb.Response_Empty{Empty: &peerpb.Empty{}}}, nil
}

// HandleForwardOrder sends an order to an engine. It is the peer.Handler of ForwardOrder calls; its errors are messages
// in the response. With every code but "unknown" the order was not run and never will be.
func (g *Gate) HandleForwardOrder(ctx context.Context, from string, req *peerpb.Request) (*peerpb.Response, error) {
	order := req.GetForwardOrder()
	if order.GetEngine() == "" || order.GetAddress() == "" || order.GetRegion() != g.opts.Region {
		return errorResponse(newGateError(codeBadOrder, nil)), nil
	}
	result, err := g.forward(ctx, order)
	if err != nil {
		g.stats.gateRefused.Inc(1)
		eventOrderRefused.Log(ctx, g.opts.Logger, slog.String("engine", order.GetEngine()),
			slog.String("order", order.GetOrderId()), slog.String("from", from), slog.Any("error", err))
		return errorResponse(err), nil
	}
	return &peerpb.Response{Result: &peerpb.Response_Order{Order: &peerpb.OrderResult{Applied: result.Applied}}}, nil
}

func errorResponse(err error) *peerpb.Response {
	code := codeUnknown
	var refused *gateError
	if errors.As(err, &refused) {
		code = refused.code
	}
	return &peerpb.Response{Result: &peerpb.Response_Error{Error: &peerpb.Error{Code: code, Message: err.Error()}}}
}

func orderFromMessage(m *peerpb.ForwardOrder) *engine.Order {
	return &engine.Order{
		ID: m.GetOrderId(), Fence: m.GetFence(), Kind: engine.OrderKind(m.GetKind()), Role: engine.Role(m.GetRole()),
		Model: m.GetModel(), Version: m.GetVersion(), Adapter: m.GetAdapter(),
	}
}

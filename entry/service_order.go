package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/admit"
	"rhubarbpoint/claim"
	"rhubarbpoint/pipeline"
)

// runOrder runs a non-idempotent request under its claim.
func (e *serviceExchange) runOrder(ctx context.Context, info *requestInfo, key string) (*claim.Response, *Error) {
	s := e.server
	if s.opts.Orders == nil {
		return nil, notRun(http.StatusServiceUnavailable, codeOrdersUnavailable, "the instance runs no orders")
	}
	var refusal atomic.Pointer[error] // Run may return before the send function does
	response, err := s.opts.Orders.Run(ctx, key, e.fingerprint(info.workspace.Name), func(ctx context.Context) (*claim.Response, error) {
		// Admission comes after the claim, so that a refusal is certain to be not_run.
		release, err := s.opts.Admitter.Admit(time.Now(), &admit.Request{
			Workspace: info.workspace.Name, Weight: info.workspace.Weight,
			Deadline: info.deadline, EstimatedFinish: time.Now(),
		})
		if err != nil {
			refusal.Store(&err)
			return nil, errors.Mark(err, claim.ErrNotSent)
		}
		defer func() { release(time.Now()) }()
		return e.sendOnce(ctx)
	})
	if err == nil {
		return response, nil
	}
	if refused := refusal.Load(); refused != nil {
		return nil, orderError(err, *refused)
	}
	return nil, orderError(err, nil)
}

// sendOnce sends the request to the first replica that accepts a connection. A replica that accepts none has received
// nothing, so the next one may be tried. Once a connection is made, no other replica is tried.
func (e *serviceExchange) sendOnce(ctx context.Context) (*claim.Response, error) {
	// The request may have waited for its claim, and replicas may have started to leave in the meantime.
	e.replicas, e.newConnection = e.server.serviceReplicas(time.Now(), e.service), true
	request := &pipeline.Request{MaxRetries: len(e.replicas) - 1, Budget: e.server.opts.Budget}
	err := pipeline.Run(ctx, request, e, func() {})
	switch {
	case e.response != nil:
		return e.response, nil
	case !request.MayHaveRun():
		return nil, errors.Mark(err, claim.ErrNotSent)
	}
	return nil, err
}

// fingerprint identifies the content of the request.
func (e *serviceExchange) fingerprint(workspace string) claim.Fingerprint {
	digest := sha256.New()
	for _, part := range []string{workspace, e.service.Name, e.call.Method, e.call.Target, string(e.call.Body)} {
		binary.Write(digest, binary.BigEndian, uint64(len(part)))
		digest.Write([]byte(part))
	}
	return claim.Fingerprint(digest.Sum(nil)[:len(claim.Fingerprint{})])
}

// orderError converts an error of package claim into one for the caller. It keeps the code, unless refusal, the error
// of the admitter, is more specific.
func orderError(err, refusal error) *Error {
	var failed *claim.Error
	if !errors.As(err, &failed) {
		return &Error{Status: http.StatusBadGateway, Code: codeUpstreamFailed, Message: err.Error(), Run: claim.RunUnknown}
	}
	out := &Error{Status: http.StatusBadGateway, Code: failed.Code, Message: failed.Message, Run: failed.Run}
	switch {
	case failed.Run == claim.NotRun && errors.Is(refusal, admit.ErrOverShare):
		out.Status, out.Code, out.Message = http.StatusTooManyRequests, codeOverShare, "the workspace is over its share"
	case failed.Run == claim.NotRun && errors.Is(refusal, admit.ErrTooLate):
		out.Status, out.Code, out.Message = http.StatusServiceUnavailable, codeTooLate, "the order cannot run by the deadline"
	case failed.Code == codeAlreadyCompleted:
		out.Status = http.StatusConflict
	case failed.Run == claim.NotRun:
		out.Status = http.StatusServiceUnavailable
	}
	return out
}

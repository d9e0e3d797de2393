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

// runOrder runs a non-idempotent call under its claim.
func (e *exchange) runOrder(ctx context.Context, c *call, key string) (*claim.Response, *Error) {
	s := e.server
	if s.opts.Orders == nil {
		return nil, notRun(http.StatusServiceUnavailable, codeOrdersOff, "the instance runs no orders")
	}
	var refusal atomic.Pointer[error] // the runner may return before the function has
	answer, err := s.opts.Orders.Run(ctx, key, e.fingerprint(c.workspace.Name), func(ctx context.Context) (*claim.Response, error) {
		// Admission comes after the claim, so that a refusal is certain to be not_run.
		release, err := s.opts.Admitter.Admit(time.Now(), &admit.Request{
			Workspace: c.workspace.Name, Weight: c.workspace.Weight,
			Deadline: c.deadline, EstimatedFinish: time.Now(),
		})
		if err != nil {
			refusal.Store(&err)
			return nil, errors.Mark(err, claim.ErrNotSent)
		}
		defer func() { release(time.Now()) }()
		return e.sendOnce(ctx)
	})
	if err == nil {
		return answer, nil
	}
	if refused := refusal.Load(); refused != nil {
		return nil, orderError(err, *refused)
	}
	return nil, orderError(err, nil)
}

// sendOnce sends the order to the first replica that accepts a connection. Nothing was sent to one that does not, so
// the next may be tried; after a connection was made, none is.
func (e *exchange) sendOnce(ctx context.Context) (*claim.Response, error) {
	// The order may have waited for its claim, and replicas may have begun to leave meanwhile.
	e.replicas, e.fresh = e.server.replicas(time.Now(), e.service), true
	request := &pipeline.Request{MaxRetries: len(e.replicas) - 1, Budget: e.server.opts.Budget}
	err := pipeline.Run(ctx, request, e, func() {})
	switch {
	case e.answer != nil:
		return e.answer, nil
	case !request.MayHaveRun():
		return nil, errors.Mark(err, claim.ErrNotSent)
	}
	return nil, err
}

// fingerprint identifies the content of the order.
func (e *exchange) fingerprint(workspace string) claim.Fingerprint {
	digest := sha256.New()
	for _, part := range []string{workspace, e.service.Name, e.call.Method, e.call.Target, string(e.call.Body)} {
		binary.Write(digest, binary.BigEndian, uint64(len(part)))
		digest.Write([]byte(part))
	}
	return claim.Fingerprint(digest.Sum(nil)[:len(claim.Fingerprint{})])
}

// orderError turns an error of package claim into the caller's. Its code stays, unless the refusal says more.
func orderError(err, refusal error) *Error {
	var failed *claim.Error
	if !errors.As(err, &failed) {
		return &Error{Status: http.StatusBadGateway, Code: codeUpstream, Message: err.Error(), Run: claim.RunUnknown}
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

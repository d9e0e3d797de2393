package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/claim"
	"rhubarbpoint/forward"
	"rhubarbpoint/peer"
	"rhubarbpoint/reach"
)

// forwardedKey is the context key of requests that another instance passed on.
type forwardedKey struct{}

// isForwarded reports whether another instance passed the request on. Such a request is never passed on again.
func isForwarded(ctx context.Context) bool {
	forwarded, _ := ctx.Value(forwardedKey{}).(bool)
	return forwarded
}

// ServeForwarded serves the requests that other instances pass on, until Drain has ended, and then returns nil.
func (s *HTTPServer) ServeForwarded(listener net.Listener) error {
	if err := s.peers.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "entry: serve forwarded requests")
	}
	return nil
}

// AdmitForwarded returns an error if this instance takes no request that another one passes on.
func (s *HTTPServer) AdmitForwarded() error {
	switch routing := s.server.opts.Routing; {
	case !s.ready.Load():
		return &peer.RemoteError{Code: forward.CodeStopping, Message: "the instance stops"}
	case routing != nil && routing.Reach.Phase() == reach.Isolated:
		return &peer.RemoteError{Code: forward.CodeIsolated, Message: "the instance reaches no replicas"}
	}
	return nil
}

// markIsolated tells an instance that has passed a request on that this one refuses it because it reaches no replicas
// either.
func (s *Server) markIsolated(w http.ResponseWriter, r *http.Request, err *Error) {
	if isForwarded(r.Context()) && err.Run == claim.NotRun && err.Status == http.StatusServiceUnavailable &&
		s.opts.Routing.Reach.Phase() != reach.Reaching {
		w.Header().Set(forward.HeaderIsolated, "1")
	}
}

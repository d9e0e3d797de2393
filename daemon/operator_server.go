package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/operator"
)

// operatorServer is an HTTP server for operators.
type operatorServer struct{ http *http.Server }

func newOperatorServer(handler http.Handler) *operatorServer {
	return &operatorServer{http: &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout}}
}

// Serve returns nil after Shutdown.
func (o *operatorServer) Serve(l net.Listener) error {
	if err := o.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "daemon: operator listener")
	}
	return nil
}

// Shutdown waits for in-flight requests until the context ends.
func (o *operatorServer) Shutdown(ctx context.Context) error {
	return errors.Wrap(o.http.Shutdown(ctx), "daemon: operator listener")
}

// newMetricsServer returns a server that serves only /metrics.
func newMetricsServer(registry metrics.Registry) *operatorServer {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { operator.WriteMetrics(w, registry) })
	return newOperatorServer(mux)
}

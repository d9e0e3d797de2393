package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/operator"
)

// operatorListener serves operators.
type operatorListener struct{ http *http.Server }

func newOperatorListener(handler http.Handler) *operatorListener {
	return &operatorListener{http: &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout}}
}

// Serve returns nil after Shutdown.
func (o *operatorListener) Serve(l net.Listener) error {
	if err := o.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "daemon: operator listener")
	}
	return nil
}

// Shutdown waits for requests in flight until the context ends.
func (o *operatorListener) Shutdown(ctx context.Context) error {
	return errors.Wrap(o.http.Shutdown(ctx), "daemon: operator listener")
}

// newMetricsListener serves nothing but /metrics.
func newMetricsListener(registry metrics.Registry) *operatorListener {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { operator.WriteMetrics(w, registry) })
	return newOperatorListener(mux)
}

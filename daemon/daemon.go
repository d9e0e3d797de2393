// Package daemon assembles an entry instance from its settings and starts and stops its parts in order.
package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/engine/httpengine"
	"rhubarbpoint/entry"
	"rhubarbpoint/settings"
)

// Run serves until the context ends.
func Run(ctx context.Context, s *settings.Settings) error {
	data, err := os.ReadFile(s.ConfigFile)
	if err != nil {
		return errors.Wrap(err, "daemon: configuration file")
	}
	var doc config.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return errors.Wrap(err, "daemon: configuration file")
	}
	server := &http.Server{
		Addr:    s.CallerListen,
		Handler: entry.NewServer(httpengine.New(), func() *config.Document { return &doc }).Handler(),
	}
	context.AfterFunc(ctx, func() { server.Shutdown(context.WithoutCancel(ctx)) })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "daemon: caller listener")
	}
	return nil
}

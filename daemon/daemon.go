// Package daemon assembles an entry instance from its settings and starts and stops its parts in order.
package daemon

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/engine/httpengine"
	"rhubarbpoint/entry"
	"rhubarbpoint/settings"
)

// drainDelay is the default of the setting drain_delay.
const drainDelay = 5 * time.Second

// Run serves until the context ends, then stops gracefully.
func Run(ctx context.Context, s *settings.Settings) error {
	data, err := os.ReadFile(s.ConfigFile)
	if err != nil {
		return errors.Wrap(err, "daemon: configuration file")
	}
	var doc config.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return errors.Wrap(err, "daemon: configuration file")
	}
	listener, err := entry.Listen(ctx, s.CallerListen)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	front := entry.NewFront(entry.NewServer(entry.Options{
		Engines: httpengine.New(), Document: func() *config.Document { return &doc }, Region: s.Region,
	}))
	drained := make(chan error, 1)
	context.AfterFunc(ctx, func() {
		delay := s.DrainDelay.D()
		if delay == 0 {
			delay = drainDelay
		}
		drained <- front.Drain(delay)
	})
	if err := front.Serve(listener); err != nil {
		return err
	}
	return <-drained
}

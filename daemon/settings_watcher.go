package daemon

import (
	"context"
	"log/slog"

	"rhubarbpoint/settings"
)

// SettingsWatcher watches the settings until the context ends. It calls apply with the settings each time they have
// been read again, or failed with an error if they are invalid.
type SettingsWatcher func(ctx context.Context, apply func(*settings.Settings), failed func(error))

// logReload returns a function that logs each reload of the settings and passes them to apply.
func logReload(logger *slog.Logger, initial *settings.Settings, apply func(*settings.Settings)) func(*settings.Settings) {
	return func(next *settings.Settings) {
		changed := initial.NeedsRestart(next)
		eventReloaded.Log(context.Background(), logger, slog.String("platform", next.Platform), slog.Any("at_next_start", changed))
		apply(next)
	}
}

func logReloadFailure(logger *slog.Logger) func(error) {
	return func(err error) {
		eventReloadFailed.Log(context.Background(), logger, slog.String("error", err.Error()))
	}
}

package daemon

import (
	"context"
	"log/slog"

	"rhubarbpoint/settings"
)

// SettingsWatcher calls apply with the settings each time that they are read again, and failed when they are refused, until the
// context ends.
type SettingsWatcher func(ctx context.Context, apply func(*settings.Settings), failed func(error))

// reloadLogger logs each reading of the settings and passes them to apply.
func reloadLogger(logger *slog.Logger, started *settings.Settings, apply func(*settings.Settings)) func(*settings.Settings) {
	return func(next *settings.Settings) {
		changed := started.NeedsRestart(next)
		eventReloaded.Log(context.Background(), logger, slog.String("platform", next.Platform), slog.Any("at_next_start", changed))
		apply(next)
	}
}

func reloadFailed(logger *slog.Logger) func(error) {
	return func(err error) {
		eventReloadFailed.Log(context.Background(), logger, slog.String("error", err.Error()))
	}
}

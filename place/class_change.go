package place

import (
	"context"
	"log/slog"

	"github.com/rcrowley/go-metrics"
)

// classChange is a change of the class of a replica's standing speed, with its inputs.
type classChange struct {
	service string
	speed   SpeedState
}

// unlock releases the lock and then logs and counts the changes of class that were made under it.
func (b *Balancer) unlock() {
	changes := b.classChanges
	b.classChanges = nil
	b.mu.Unlock()
	for _, c := range changes {
		metrics.GetOrRegisterCounter("place.speed_class_changes", b.opts.Metrics).Inc(1)
		eventClassChanged.Log(context.Background(), b.opts.Logger, slog.String("service", c.service), slog.String("upstream", c.speed.Replica),
			slog.String("class", string(c.speed.Class)), slog.Float64("speed", c.speed.Speed), slog.Int("samples", c.speed.Samples),
			slog.Float64("factor", c.speed.Factor), slog.Float64("factor_age_s", c.speed.FactorAge))
	}
}

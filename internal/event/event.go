// Package event declares numbered log events, so that operators can search for and alert on a stable number instead
// of a message text. Each package declares its events in events.go; docs/events.md lists all of them.
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log line. The meaning of an ID never changes once it is released.
type Event struct {
	ID    int
	Name  string
	Level slog.Level
	Doc   string
}

// New declares an event and adds it to the registry. It panics if the ID or the name is taken, so that a duplicate
// fails at program start. It must be called from package-level variable declarations only.
func New(id int, name string, level slog.Level, doc string) *Event {
	e := &Event{ID: id, Name: name, Level: level, Doc: doc}
	registry.add(e)
	return e
}

// Log writes the event with its ID and the given attributes. A nil logger writes nothing. It is safe for concurrent
// use.
func (e *Event) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	if logger == nil || !logger.Enabled(ctx, e.Level) {
		return
	}
	logger.LogAttrs(ctx, e.Level, e.Name, append([]slog.Attr{slog.Int("event", e.ID)}, attrs...)...)
}

package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"rhubarbpoint/daemon"
	"rhubarbpoint/internal/logsink"
	"rhubarbpoint/settings"
)

type serveCommand struct {
	settings string
	level    slog.Level
	hup      chan os.Signal
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run an entry instance" }
func (*serveCommand) Usage() string {
	return "serve -settings FILE\n\tRun an entry instance until SIGTERM, then stop gracefully.\n"
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file of this instance, in JSON")
	f.TextVar(&c.level, "log-level", slog.LevelInfo, "lowest level to log: DEBUG, INFO, WARN or ERROR")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// SIGHUP is caught before anything else, because it ends a process that does not handle it.
	c.hup = make(chan os.Signal, 1)
	signal.Notify(c.hup, syscall.SIGHUP)
	s, err := settings.Load(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	logger := slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: c.level}))
	if err := daemon.Run(ctx, s, logger, c.watchSettings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// watchSettings reads the settings again after SIGHUP and when the file changes.
func (c *serveCommand) watchSettings(ctx context.Context, apply func(*settings.Settings), failed func(error)) {
	settings.Watch(ctx, c.settings, c.hup, apply, failed)
}

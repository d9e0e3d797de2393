// Command rhubarbpoint runs an entry instance and gives operators their verbs. Exit codes: 0 success, 1 failure, 2 usage,
// 3 refused by validation, 4 conflict, 5 not in force in time.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	for _, verb := range []subcommands.Command{
		&validateCommand{}, &showCommand{}, &editCommand{}, &diffCommand{}, &applyCommand{},
	} {
		subcommands.Register(verb, "configuration")
	}
	for _, verb := range []subcommands.Command{&stateCommand{}, &eventsCommand{}, &versionCommand{}} {
		subcommands.Register(verb, "information")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

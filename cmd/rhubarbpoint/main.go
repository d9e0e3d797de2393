// Command rhubarbpoint runs an entry instance and provides the commands of operators. Exit codes: 0 success, 1 failure,
// 2 usage, 3 invalid document or settings, 4 conflict, 5 not in force in time.
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
	for _, command := range []subcommands.Command{
		&validateCommand{}, &showCommand{}, &editCommand{}, &diffCommand{}, &applyCommand{},
	} {
		subcommands.Register(command, "configuration")
	}
	for _, command := range []subcommands.Command{&stateCommand{}, &explainCommand{}, &eventsCommand{}, &versionCommand{}} {
		subcommands.Register(command, "information")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

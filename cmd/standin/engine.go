package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"rhubarbpoint/internal/standin/engine"
)

type engineCommand struct {
	listen string
	opts   engine.Options
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a stand-in LLM engine" }
func (*engineCommand) Usage() string    { return "engine -listen IP:PORT -id ID\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address of the HTTP interface")
	f.StringVar(&c.opts.ID, "id", "engine", "engine ID")
	f.DurationVar(&c.opts.Step, "step", 20*time.Millisecond, "time between two tokens")
}

func (c *engineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := http.ListenAndServe(c.listen, engine.New(c.opts).Handler()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

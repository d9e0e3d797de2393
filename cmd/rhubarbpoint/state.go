package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

type stateCommand struct {
	part   string
	target target
	output output
}

func (*stateCommand) Name() string     { return "state" }
func (*stateCommand) Synopsis() string { return "print the state of one instance" }
func (*stateCommand) Usage() string {
	return "state [-part NAME] [-operator IP:PORT] [-o json]\n\tPrint the state of each part of an instance in JSON, or of one part.\n"
}

func (c *stateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.part, "part", "", "part, such as config/manager; all if empty")
	c.target.setFlag(f)
	c.output.setFlag(f)
}

func (c *stateCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	instance, err := c.target.client()
	if err == nil {
		err = c.output.check()
	}
	if err != nil {
		return usageError(err)
	}
	state, err := instance.State(ctx, c.part)
	if err != nil {
		return c.output.fail(err)
	}
	c.output.print(state, func(w io.Writer) {
		var text bytes.Buffer
		json.Indent(&text, state, "", "  ")
		fmt.Fprintln(w, text.String())
	})
	return subcommands.ExitSuccess
}

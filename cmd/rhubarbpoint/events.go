package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"

	"rhubarbpoint/internal/event"
)

type eventsCommand struct {
	output output
}

// eventLine describes one event in the output.
type eventLine struct {
	ID      int    `json:"id"`
	Name    string `json:"name"`
	Level   string `json:"level"`
	Meaning string `json:"meaning"`
}

func (*eventsCommand) Name() string     { return "events" }
func (*eventsCommand) Synopsis() string { return "list the numbered log events" }
func (*eventsCommand) Usage() string {
	return "events [-o json]\n\tList the events that an instance logs, with number, level and meaning.\n"
}

func (c *eventsCommand) SetFlags(f *flag.FlagSet) { c.output.setFlag(f) }

func (c *eventsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return usageError(err)
	}
	lines := []eventLine{}
	for _, e := range event.All() {
		lines = append(lines, eventLine{ID: e.ID, Name: e.Name, Level: e.Level.String(), Meaning: e.Doc})
	}
	c.output.print(lines, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, l := range lines {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", l.ID, l.Level, l.Name, l.Meaning)
		}
		table.Flush()
	})
	return subcommands.ExitSuccess
}

package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"rhubarbpoint/operator"
	"rhubarbpoint/operator/client"
)

type diffCommand struct {
	file   string
	from   int64
	target target
	output output
}

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "list what a section file or recent versions change" }
func (*diffCommand) Usage() string {
	return `diff -file FILE [-operator IP:PORT] [-o json]
diff [-from VERSION] [-operator IP:PORT] [-o json]
	With a section file, list what applying it would change in the document in force; faults are reported as by
	validate (exit code 3). Without a file, list what has changed since a version, by default the previous one. An
	instance keeps the last 16 versions that were in force on it. Lines start with + (added), - (removed) or ~
	(changed); items of lists are named by their ID or name.
`
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "section `file` as written by edit")
	f.Int64Var(&c.from, "from", 0, "earlier `version`; 0 for the previous one")
	c.target.setFlag(f)
	c.output.setFlag(f)
}

func (c *diffCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	instance, err := c.target.client()
	if err == nil {
		err = c.output.check()
	}
	if err != nil {
		return usageError(err)
	}
	difference, err := c.compare(ctx, instance)
	if err != nil {
		return c.output.fail(err)
	}
	c.output.print(difference, printChanges(difference.Changes))
	return subcommands.ExitSuccess
}

func (c *diffCommand) compare(ctx context.Context, instance *client.Client) (*operator.Difference, error) {
	if c.file == "" {
		return instance.Diff(ctx, c.from)
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, err
	}
	file, err := client.ParseSectionFile(data)
	if err != nil {
		return nil, err
	}
	return instance.Propose(ctx, file.Section, file.Content)
}

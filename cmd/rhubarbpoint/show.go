package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"rhubarbpoint/config"
	"rhubarbpoint/operator"
)

type showCommand struct {
	section  string
	defaults bool
	target   target
	output   output
}

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "print the document in force on an instance" }
func (*showCommand) Usage() string {
	return `show [-operator IP:PORT] [-section NAME] [-defaults] [-o json]
	Print the document in force, or one section, as operators wrote it. With -o json, the output also has the version.
`
}

func (c *showCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.section, "section", "", "orders, models, network or callers; all if empty")
	f.BoolVar(&c.defaults, "defaults", false, "also print the default values of fields that are not set")
	c.target.setFlag(f)
	c.output.setFlag(f)
}

func (c *showCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	instance, err := c.target.client()
	if err == nil {
		err = c.output.check()
	}
	if err != nil {
		return usageError(err)
	}
	current, err := instance.Config(ctx, c.defaults)
	if err == nil && c.section != "" {
		err = selectSection(current, c.section)
	}
	if err != nil {
		return c.output.fail(err)
	}
	c.output.print(current, func(w io.Writer) {
		var text bytes.Buffer
		json.Indent(&text, current.Document, "", "  ")
		fmt.Fprintln(w, text.String())
	})
	return subcommands.ExitSuccess
}

func selectSection(current *operator.Configuration, section string) error {
	source, err := config.ParseRawDocument(current.Document)
	if err != nil {
		return err
	}
	current.Document, err = source.Section(section)
	return err
}

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"rhubarbpoint/config"
	"rhubarbpoint/operator/client"
	"rhubarbpoint/settings"
)

type validateCommand struct {
	file, settings string
	target         target
	output         output
}

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check a document, a section or a settings file" }
func (*validateCommand) Usage() string {
	return `validate -file FILE [-operator IP:PORT] [-o json]
validate -settings FILE [-o json]
	Report every fault with its path, its value and what is allowed. A whole document and a settings file are checked
	without an instance. A section file, as written by edit, is checked together with the other sections in force on
	the instance that -operator names. Nothing takes effect. Exit code 3 if there is a fault.
`
}

func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "document or section `file`")
	f.StringVar(&c.settings, "settings", "", "settings `file` of an instance")
	c.target.setFlag(f)
	c.output.setFlag(f)
}

func (c *validateCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return usageError(err)
	}
	if (c.file == "") == (c.settings == "") {
		return usageError(errors.New("validate needs either -file or -settings"))
	}
	if c.settings != "" {
		_, err := settings.Load(c.settings)
		return c.report(err)
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return c.output.fail(err)
	}
	if !client.IsSectionFile(data) {
		_, err = config.Decode(data)
		return c.report(err)
	}
	instance, err := c.target.client()
	if err != nil {
		return usageError(fmt.Errorf("a section is checked together with the other sections of an instance: %w", err))
	}
	file, err := client.ParseSectionFile(data)
	if err != nil {
		return c.output.fail(err)
	}
	_, err = instance.Propose(ctx, file.Section, file.Content)
	return c.report(err)
}

func (c *validateCommand) report(err error) subcommands.ExitStatus {
	if err != nil {
		return c.output.fail(err)
	}
	c.output.print(map[string]bool{"valid": true}, func(w io.Writer) { fmt.Fprintln(w, "valid") })
	return subcommands.ExitSuccess
}

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"rhubarbpoint/operator/client"
)

type editCommand struct {
	section, file string
	force         bool
	target        target
	output        output
}

func (*editCommand) Name() string     { return "edit" }
func (*editCommand) Synopsis() string { return "write one section to a file, to change and apply it" }
func (*editCommand) Usage() string {
	return `edit -section NAME [-file FILE] [-operator IP:PORT] [-o json]
	Write the section in force to a file, with the version that it comes from. Change "content" in a text editor,
	then use diff, validate and apply with the same file. If the document does not have the section yet, the content is {}.
`
}

func (c *editCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.section, "section", "", "orders, models, network or callers")
	f.StringVar(&c.file, "file", "", "`file` to write; default NAME.json")
	f.BoolVar(&c.force, "force", false, "replace an existing file")
	c.target.setFlag(f)
	c.output.setFlag(f)
}

func (c *editCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	instance, err := c.target.client()
	if err == nil {
		err = c.output.check()
	}
	if err == nil && c.section == "" {
		err = errors.New("-section must name a section")
	}
	if err != nil {
		return usageError(err)
	}
	if c.file == "" {
		c.file = c.section + ".json"
	}
	current, err := instance.Config(ctx, false)
	if err != nil {
		return c.output.fail(err)
	}
	file, err := client.NewSectionFile(current, c.section)
	if err == nil {
		err = c.write(file)
	}
	if err != nil {
		return c.output.fail(err)
	}
	result := map[string]any{"file": c.file, "section": file.Section, "base": file.Base}
	c.output.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "section %s of version %d written to %s\n", file.Section, file.Base, c.file)
	})
	return subcommands.ExitSuccess
}

func (c *editCommand) write(file *client.SectionFile) error {
	data, err := file.Encode()
	if err != nil {
		return err
	}
	mode := os.O_CREATE | os.O_WRONLY | os.O_EXCL // an edit that has not been applied must not be lost
	if c.force {
		mode = os.O_CREATE | os.O_WRONLY | os.O_TRUNC
	}
	out, err := os.OpenFile(c.file, mode, 0o644)
	if err != nil {
		return fmt.Errorf("%w (-force replaces an existing file)", err)
	}
	_, err = out.Write(data)
	return errors.Join(err, out.Close())
}

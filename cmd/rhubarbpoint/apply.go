package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"rhubarbpoint/operator"
	"rhubarbpoint/operator/client"
)

type applyCommand struct {
	file, edit string
	since      int64
	wait       bool
	timeout    time.Duration
	target     target
	output     output
}

// applyResult is the JSON output of apply.
type applyResult struct {
	Version int64             `json:"version"`
	Edit    string            `json:"edit,omitempty"`
	Rollout *operator.Rollout `json:"rollout,omitempty"`
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put a changed section in force" }
func (*applyCommand) Usage() string {
	return `apply -file FILE [-wait] [-timeout DURATION] [-operator IP:PORT] [-o json]
apply -file FILE -edit ID -since VERSION
	Replace one section by that of a file that edit has written. A whole document is accepted only while the store holds
	none. The edit is refused as a whole if the document would be invalid (exit code 3) or if the section was changed
	since the file was written (exit code 4). With -wait, return once the new version is in force on every
	instance; exit code 5 if it is not within -timeout. If the store or the instance does not answer, the outcome can be
	unknown (exit code 1): the message gives the values of -edit and -since with which applying the same file again
	returns the outcome, without applying the edit twice.
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "section `file` as written by edit, or a first whole document")
	f.StringVar(&c.edit, "edit", "", "`ID` of an edit whose outcome was unknown")
	f.Int64Var(&c.since, "since", 0, "`version` that the message gave with that ID")
	f.BoolVar(&c.wait, "wait", false, "wait until the version is in force on every instance")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "limit for the edit and for the wait, each")
	c.target.setFlag(f)
	c.output.setFlag(f)
}

func (c *applyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	instance, err := c.target.client()
	if err == nil {
		err = c.output.check()
	}
	if err == nil && c.file == "" {
		err = errors.New("-file must name a file")
	}
	if err != nil {
		return usageError(err)
	}
	accepted, err := c.apply(ctx, instance)
	if err != nil {
		return c.output.fail(err)
	}
	result := applyResult{Version: accepted.Version, Edit: accepted.Edit}
	if c.wait {
		waitCtx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		result.Rollout, err = instance.Wait(waitCtx, accepted.Version)
	}
	c.output.print(result, func(w io.Writer) { result.write(w, err) })
	if err != nil {
		return exitNotInForce
	}
	return subcommands.ExitSuccess
}

func (c *applyCommand) apply(ctx context.Context, instance *client.Client) (*operator.Accepted, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if !client.IsSectionFile(data) {
		return instance.Seed(ctx, data)
	}
	file, err := client.ParseSectionFile(data)
	if err != nil {
		return nil, err
	}
	return instance.Apply(ctx, client.Edit{
		Section: file.Section, Base: file.Base, Content: file.Content, ID: c.edit, Since: c.since,
	})
}

func (a *applyResult) write(w io.Writer, err error) {
	fmt.Fprintf(w, "accepted as version %d\n", a.Version)
	switch {
	case err == nil && a.Rollout != nil:
		fmt.Fprintf(w, "in force on %d instances\n", len(a.Rollout.Members))
	case err != nil:
		fmt.Fprintln(w, err)
		if a.Rollout == nil {
			return
		}
		for _, m := range a.Rollout.Members {
			if m.Version < a.Version {
				fmt.Fprintf(w, "  %s (%s/%s) has version %d\n", m.ID, m.Region, m.Zone, m.Version)
			}
		}
	}
}

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCommand struct {
	output output
}

// buildInfo is the version of this program and of its toolchain.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version of this program" }
func (*versionCommand) Usage() string {
	return "version [-o json]\n\tPrint the version of this program and the revision that it was built from.\n"
}

func (c *versionCommand) SetFlags(f *flag.FlagSet) { c.output.setFlag(f) }

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return usageError(err)
	}
	b := readBuildInfo()
	c.output.print(b, func(w io.Writer) { fmt.Fprintln(w, "rhubarbpoint", b.Version, b.Revision, b.Go) })
	return subcommands.ExitSuccess
}

func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown", Go: runtime.Version()}
	info, known := debug.ReadBuildInfo()
	if !known {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"rhubarbpoint/config"
	"rhubarbpoint/operator"
	"rhubarbpoint/operator/client"
	"rhubarbpoint/settings"
)

// Exit codes for scripts, in addition to those of package subcommands (0 success, 1 failure, 2 usage).
const (
	exitInvalid    subcommands.ExitStatus = 3
	exitConflict   subcommands.ExitStatus = 4
	exitNotInForce subcommands.ExitStatus = 5
)

// output writes results as text or as JSON.
type output struct {
	format string
}

func (o *output) setFlag(f *flag.FlagSet) {
	f.StringVar(&o.format, "o", "text", "output `format`: text or json")
}

func (o *output) check() error {
	if o.format != "text" && o.format != "json" {
		return fmt.Errorf("-o must be text or json, got %q", o.format)
	}
	return nil
}

// print writes value as JSON, or calls text to write it as text.
func (o *output) print(value any, text func(w io.Writer)) {
	if o.format != "json" {
		text(os.Stdout)
		return
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	out.SetEscapeHTML(false)
	out.Encode(value)
}

// failure is the JSON form of an error.
type failure struct {
	Error operator.Error `json:"error"`
}

// fail reports an error and returns its exit code.
func (o *output) fail(err error) subcommands.ExitStatus {
	report := toOperatorError(err)
	if o.format == "json" {
		o.print(failure{Error: *report}, nil)
	} else {
		fmt.Fprintln(os.Stderr, report.Message)
	}
	switch report.Code {
	case operator.CodeInvalid:
		return exitInvalid
	case operator.CodeConflict, operator.CodeIDReused, operator.CodeExists:
		return exitConflict
	}
	if errors.Is(err, client.ErrNotInForce) {
		return exitNotInForce
	}
	return subcommands.ExitFailure
}

func toOperatorError(err error) *operator.Error {
	var reported *operator.Error
	var invalid *config.InvalidError
	switch {
	case errors.As(err, &reported):
		return reported
	case errors.As(err, &invalid):
		return &operator.Error{Code: operator.CodeInvalid, Message: err.Error(), Faults: invalid.Faults}
	case errors.Is(err, config.ErrInvalid), errors.Is(err, settings.ErrInvalid):
		return &operator.Error{Code: operator.CodeInvalid, Message: err.Error()}
	}
	return &operator.Error{Code: "failure", Message: err.Error()}
}

func usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitUsageError
}

func printChanges(all []config.Change) func(io.Writer) {
	return func(w io.Writer) {
		for _, c := range all {
			fmt.Fprintln(w, c)
		}
		if len(all) == 0 {
			fmt.Fprintln(w, "no differences")
		}
	}
}

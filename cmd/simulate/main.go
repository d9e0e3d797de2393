// Command simulate plays deployments with routed requests in virtual time and compares policies. docs/deployments.md
// describes its files.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/simfleet"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the requests and of all random choices")
	file := flag.String("deployment", "", "play this deployment instead of the product's own")
	out := flag.String("out", "bench/out", "folder for the report and the plots")
	before := flag.String("before", "", "report of an earlier version to compare with")
	flag.Parse()
	if err := run(*seed, *file, *out, *before); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seed uint64, file, out, before string) error {
	deployments, err := load(file)
	if err != nil {
		return err
	}
	previous, err := earlier(before)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "simulate")
	}
	report := simfleet.RunAll(deployments, simfleet.Policies(), seed)
	if err := write(filepath.Join(out, "deployments.json"), report); err != nil {
		return err
	}
	if err := write(filepath.Join(out, "deployments-summary.json"), report.Summary()); err != nil {
		return err
	}
	if err := report.WritePlots(out); err != nil {
		return err
	}
	return report.WriteTable(os.Stdout, previous)
}

func write(file string, report *simfleet.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "simulate")
	}
	if err := report.WriteJSON(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "simulate")
}

func load(file string) ([]*simfleet.Deployment, error) {
	if file == "" {
		return simfleet.Deployments()
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "simulate")
	}
	d, err := simfleet.Read(data)
	return []*simfleet.Deployment{d}, err
}

func earlier(file string) (*simfleet.Report, error) {
	if file == "" {
		return nil, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "simulate")
	}
	defer f.Close()
	return simfleet.ReadReport(f)
}

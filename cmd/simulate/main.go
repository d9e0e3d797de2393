// Command simulate simulates deployments with routed requests in virtual time and compares policies.
// docs/deployments.md describes its files.
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
	file := flag.String("deployment", "", "simulate the deployment in this file instead of the built-in ones")
	out := flag.String("out", "bench/out", "directory for the report and the plots")
	before := flag.String("before", "", "report of an earlier version to compare with")
	only := flag.String("policy", "", "simulate only this policy, without bounds and fixed stage assignments")
	flag.Parse()
	if err := run(*seed, *file, *out, *before, *only); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seed uint64, file, out, before, only string) error {
	deployments, err := load(file)
	if err != nil {
		return err
	}
	previous, err := readPrevious(before)
	if err != nil {
		return err
	}
	if only != "" {
		return runPolicy(deployments, only, seed)
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

// runPolicy simulates one policy and prints one line for each deployment.
func runPolicy(deployments []*simfleet.Deployment, name string, seed uint64) error {
	for _, p := range simfleet.Policies() {
		if p.Name != name {
			continue
		}
		for _, d := range deployments {
			r := simfleet.Run(d, p, seed)
			fmt.Printf("%s: earned %.3f, in time %d, late %d, refused %d, failed %d, read %.1f Mtok, again %.1f Mtok\n", d.Name, r.All.CreditShare(),
				r.All.InTime, r.All.Late, r.All.Refused, r.All.Failed, float64(r.PrefillTokens)/1e6, float64(r.RepeatedPrefillTokens)/1e6)
		}
		return nil
	}
	return errors.Newf("simulate: no policy %q", name)
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

func readPrevious(file string) (*simfleet.Report, error) {
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

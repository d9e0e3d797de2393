// Command bench replays traces through the decision code and compares policies. docs/traces.md describes trace files.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/bench"
)

// gcPercent is higher than the default to save time: replays need little memory.
const gcPercent = 400

func main() {
	seed := flag.Uint64("seed", 1, "seed of the generated traces and of all random choices")
	file := flag.String("trace", "", "replay this trace file instead of the generated traces")
	out := flag.String("out", "bench/out", "directory for JSON and plots")
	record := flag.Bool("record", false, "also write the generated traces to the directory of -out")
	parallel := flag.Int("parallel", runtime.GOMAXPROCS(0), "number of replays that run in parallel")
	flag.Parse()
	debug.SetGCPercent(gcPercent)
	if err := run(*seed, *file, *out, *record, *parallel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seed uint64, file, out string, record bool, parallel int) error {
	traces, err := load(seed, file)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "bench")
	}
	if record {
		for i := range traces {
			if err := write(filepath.Join(out, traces[i].Name+".jsonl"), func(f *os.File) error {
				return bench.WriteTrace(f, traces[i].Requests)
			}); err != nil {
				return err
			}
		}
	}
	report := bench.RunAll(bench.Options{Seed: seed, Traces: traces, Parallel: parallel})
	if err := write(filepath.Join(out, "results.json"), func(f *os.File) error { return report.WriteJSON(f) }); err != nil {
		return err
	}
	if err := report.WritePlots(out); err != nil {
		return err
	}
	return report.WriteTable(os.Stdout)
}

func load(seed uint64, file string) ([]bench.Trace, error) {
	if file == "" {
		return bench.Traces(seed), nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	defer f.Close()
	requests, err := bench.ReadTrace(f)
	if err != nil {
		return nil, err
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return []bench.Trace{bench.NewTrace(name, requests)}, nil
}

func write(path string, fill func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	if err := fill(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "bench")
}

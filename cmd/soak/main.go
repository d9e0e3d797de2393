// Command soak injects faults into a fleet of real processes on loopback and prints the violations that it finds. It
// exits with status 1 if there are any.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/soak"
	"rhubarbpoint/internal/soak/cuthook"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the faults; the first one with -minutes or -seeds")
	seeds := flag.Int("seeds", 1, "number of seeds to run, one after another")
	minutes := flag.Float64("minutes", 0, "run seeds until so many minutes have passed, instead of -seeds")
	length := flag.Duration("length", 12*time.Second, "time of each run in which faults are started")
	restart := flag.Bool("restart", true, "also start replicas again under their IDs and addresses at another version")
	onlyCuts := flag.Bool("only-cuts", false, "only cut instances off from all replicas")
	bin := flag.String("bin", filepath.Dir(os.Args[0]), "directory of the programs")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	end := time.Now().Add(time.Duration(*minutes * float64(time.Minute)))
	built, err := os.MkdirTemp("", "rhubarbpoint-soak-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer os.RemoveAll(built)
	instance, err := cuthook.Build(built)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	failed := 0
	for n := uint64(0); ctx.Err() == nil && (*minutes > 0 && time.Now().Before(end) || *minutes == 0 && n < uint64(*seeds)); n++ {
		ok, err := runSeed(ctx, soak.Options{
			Bin: *bin, Instance: instance, Seed: *seed + n, Length: *length, RestartInPlace: *restart, OnlyCuts: *onlyCuts,
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("soak: %d seeds failed\n", failed)
		os.Exit(1)
	}
}

// runSeed runs one seed and prints its outcome. The logs of a failed run are kept.
func runSeed(ctx context.Context, opts soak.Options) (bool, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("rhubarbpoint-soak-%d-", opts.Seed))
	if err != nil {
		return false, errors.Wrap(err, "soak")
	}
	opts.Dir = dir
	result, err := soak.Run(ctx, opts)
	if err != nil {
		return false, err
	}
	c := &result.Counts
	fmt.Printf("seed %d: %d requests, %d served, %d refused, %d broken connections, %d executions, %d orders; faults:%s\n", opts.Seed, c.Sent, c.Served,
		c.Refused, c.Broken, c.Runs, c.Orders, list(c.Faults))
	fmt.Printf("  %d streams, %d responses of them broken, %d of %d take-ups went on; broken off by replicas:%s\n", c.Streams, c.StreamsBroken, c.WentOn,
		c.TakenUp, list(c.BrokenOff))
	fmt.Printf("  broken off inside an event: %d of %d take-ups went on, %d responses were continued\n", c.MidEventWentOn, c.MidEventTakenUp,
		c.MidEventContinued)
	fmt.Printf("  %d cuts from all replicas, %d checks of cut off instances: %d of %d first tries served\n", c.Cuts, c.CutChecks, c.CutServed,
		c.CutTries)
	for n, v := range result.Violations {
		if n == 10 {
			fmt.Printf("  and %d more\n", len(result.Violations)-n)
			break
		}
		fmt.Println("  " + v)
	}
	if len(result.Violations) == 0 {
		return true, errors.Wrap(os.RemoveAll(opts.Dir), "soak")
	}
	fmt.Println("  logs in " + opts.Dir)
	return false, nil
}

// list returns counts by name in one line.
func list(counts map[string]int) string {
	var text string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf(" %s %d;", name, counts[name])
	}
	return text
}

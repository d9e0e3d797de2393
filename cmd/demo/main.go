// Command demo starts a small fleet on loopback and sends it the model requests of a trace and calls to an order
// service while one entry instance and one engine are stopped. It checks every response and exits with a non-zero
// status if a response was truncated or wrong or a non-idempotent request was executed twice.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/bench"
	"rhubarbpoint/internal/demo"
	"rhubarbpoint/internal/fleet"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs rhubarbpoint and standin")
	trace := flag.String("trace", "testdata/traces/demo.jsonl", "trace to play, as docs/traces.md describes")
	length := flag.Duration("length", 30*time.Second, "time over which the trace is played")
	logs := flag.String("logs", "", "directory in which to keep settings and logs; default is a temporary one that is removed")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	tally, err := run(ctx, *bin, *trace, *logs, *length)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(tally.Summary())
	if tally.Failed() {
		os.Exit(1)
	}
}

func run(ctx context.Context, bin, trace, logs string, length time.Duration) (demo.Tally, error) {
	dir := logs
	if logs != "" {
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return demo.Tally{}, errors.Wrap(err, "demo: logs")
		}
	}
	if dir == "" {
		temporary, err := os.MkdirTemp("", "rhubarbpoint-demo-")
		if err != nil {
			return demo.Tally{}, errors.Wrap(err, "demo: logs")
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	file, err := os.Open(trace)
	if err != nil {
		return demo.Tally{}, errors.Wrap(err, "demo: trace")
	}
	defer file.Close()
	requests, err := bench.ReadTrace(file)
	if err != nil {
		return demo.Tally{}, err
	}
	f, err := fleet.Start(ctx, fleet.DefaultOptions(bin, dir))
	defer f.Stop()
	if err != nil {
		return demo.Tally{}, err
	}
	fmt.Printf("started 1 platform, %d engines, %d order services, %d entry instances\n",
		len(f.Engines), len(f.Services), len(f.Entries))
	player := demo.Player{
		Fleet: f, Requests: requests, Length: length, Progress: os.Stdout,
		Faults: []demo.Fault{
			{At: length / 3, Name: "stopping entry-1-1 (SIGTERM)", Do: f.Entries[0].Terminate},
			{At: length / 2, Name: "killing engine-2-1 (SIGKILL)", Do: f.Engines[3].Kill},
		},
	}
	return player.Play(ctx)
}

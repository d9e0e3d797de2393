package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"rhubarbpoint/internal/standin/platform"
)

type platformCommand struct {
	listen string
	opts   platform.Options
}

func (*platformCommand) Name() string { return "platform" }
func (*platformCommand) Synopsis() string {
	return "run a stand-in for the store and the instance list"
}
func (*platformCommand) Usage() string {
	return "platform -listen IP:PORT [-writes N] [-reads N] [-list-lag DURATION] [-seed N]\n" +
		"\tServe a store and an instance list in memory. PUT /admin/faults injects faults, POST /admin/silence\n" +
		"\tmakes all open connections stop carrying data, GET /admin/calls counts calls by kind. Also serve the\n" +
		"\tcontrol API: PUT /admin/control-faults injects faults, GET /admin/control lists its calls and violations.\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address of the HTTP interface")
	f.IntVar(&c.opts.WritesPerSecond, "writes", 500, "limit of writes per second")
	f.IntVar(&c.opts.ReadsPerSecond, "reads", 2000, "limit of reads per second; a waiting watch counts as one")
	f.DurationVar(&c.opts.ListLag, "list-lag", 5*time.Second, "time until a change of the instance list is visible")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "seed for choosing the calls that get a fault")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("platform listening on", l.Addr())
	silent := platform.NewListener(l)
	server := &http.Server{Handler: platform.New(c.opts).HandlerWithSilence(silent)}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(silent); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	llm "rhubarbpoint/engine"
	"rhubarbpoint/internal/standin/engine"
)

// crashStatus is the exit status of a stand-in engine after an injected crash.
const crashStatus = 3

type engineCommand struct {
	listen string
	models string
	role   string
	opts   engine.Options
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a stand-in LLM engine" }
func (*engineCommand) Usage() string {
	return "engine -listen IP:PORT -id ID [flags]\n\tRun a stand-in engine until SIGTERM, then finish its requests and exit.\n"
}

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address of the HTTP interface")
	f.StringVar(&c.opts.ID, "id", "engine", "engine ID")
	f.StringVar(&c.models, "models", "", "comma-separated name@version of the models loaded at the start; empty to serve all")
	f.StringVar(&c.role, "role", string(llm.RoleMixed), "role at the start: mixed, prefill or decode")
	f.DurationVar(&c.opts.Step, "step", 20*time.Millisecond, "time between two tokens of a single request")
	f.DurationVar(&c.opts.StepPerRequest, "step-per-request", time.Millisecond, "time that each further request adds to a step")
	f.Float64Var(&c.opts.PrefillTokensPerSecond, "prefill-rate", 20_000, "prompt tokens processed per second")
	f.IntVar(&c.opts.MaxRunning, "max-running", 32, "maximum number of requests in the batch")
	f.IntVar(&c.opts.MaxWaiting, "max-waiting", 1000, "maximum number of requests in the queue")
	f.IntVar(&c.opts.CacheBlocks, "cache-blocks", 64, "size of the prefix cache in blocks of 4,000 tokens")
	f.IntVar(&c.opts.OutputTokens, "answer-tokens", 0, "number of tokens after which outputs end by themselves; 0 for the request's limit")
	f.DurationVar(&c.opts.LoadLag, "load-lag", 500*time.Millisecond, "age of load reports")
	f.DurationVar(&c.opts.CacheEventDelay, "cache-event-delay", time.Second, "age of cache events")
	f.IntVar(&c.opts.CacheEventLoss, "cache-event-loss", 0, "lose one of this many cache events; 0 for none")
	f.BoolVar(&c.opts.ChecksFence, "checks-fence", false, "refuse orders with an old fencing token")
	f.DurationVar(&c.opts.ChangeTime, "change-time", 5*time.Second, "time for which a change of role, model or adapter takes the engine out of service")
	f.Int64Var(&c.opts.KVBytesPerSecond, "kv-rate", 10_000_000_000, "bytes of KV cache imported per second")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.Role = llm.Role(c.role)
	for _, name := range strings.FieldsFunc(c.models, func(r rune) bool { return r == ',' }) {
		model, version, _ := strings.Cut(name, "@")
		c.opts.Models = append(c.opts.Models, llm.LoadedModel{Name: model, Version: version})
	}
	c.opts.Crash = func() { os.Exit(crashStatus) }
	e := engine.New(c.opts)
	server := e.Server()
	return serve(ctx, c.listen, server, func() error { return e.Stop(context.WithoutCancel(ctx), server) })
}

// serve runs a server until the context ends and then waits for stop, which shuts it down.
func serve(ctx context.Context, listen string, server *http.Server, stop func() error) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("listening on", listener.Addr())
	stopped := make(chan error, 1)
	context.AfterFunc(ctx, func() { stopped <- stop() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := <-stopped; err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

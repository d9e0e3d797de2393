package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"

	"rhubarbpoint/internal/standin/orders"
)

type ordersCommand struct {
	listen string
	id     string
}

func (*ordersCommand) Name() string     { return "orders" }
func (*ordersCommand) Synopsis() string { return "run a stand-in order-and-stock service" }
func (*ordersCommand) Usage() string    { return "orders -listen IP:PORT -id ID\n" }

func (c *ordersCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address of the HTTP interface")
	f.StringVar(&c.id, "id", "orders", "replica ID")
}

func (c *ordersCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	server := &http.Server{Handler: orders.New(c.id).Handler()}
	return serve(ctx, c.listen, server, func() error { return server.Shutdown(context.WithoutCancel(ctx)) })
}

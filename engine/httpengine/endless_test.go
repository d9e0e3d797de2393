package httpengine_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/engine"
	"rhubarbpoint/engine/httpengine"
	"rhubarbpoint/internal/endless"
)

// Guards against an engine whose response does not end and fills the memory of the instance.
func TestEndlessResponsesFail(t *testing.T) {
	for name, c := range map[string]struct{ prefix, block string }{
		"header lines":            {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"header line":             {"HTTP/1.1 200 OK\r\nName: ", "x"},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"frame":                   {"HTTP/1.1 200 OK\r\n\r\n", "{"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { l.Close() })
			go endless.Serve(l, c.prefix, c.block)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			client, addr := httpengine.New(), l.Addr().String()

			stream, err := client.Generate(ctx, addr, &engine.Request{})
			if err == nil {
				_, err = stream.Recv()
				stream.Close()
			}
			g.Expect(err).To(gomega.HaveOccurred())
			_, err = client.Load(ctx, addr)
			g.Expect(err).To(gomega.HaveOccurred())
			_, err = client.Order(ctx, addr, &engine.Order{})
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "the calls ended only at their deadline")
		})
	}
}

package faultproxy_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/internal/faultproxy"
)

// echo starts a server that sends each line back, and returns its address.
func echo(g *gomega.WithT, t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a proxy whose faults differ from those that a soak expects.
func TestFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	link, err := faultproxy.New(echo(g, t))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(link.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", link.Address())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { c.Close() })
		return c
	}
	roundTrip := func(c net.Conn, timeout time.Duration) (string, error) {
		c.SetDeadline(time.Now().Add(timeout))
		fmt.Fprintln(c, "x")
		return bufio.NewReader(c).ReadString('\n')
	}
	const soon, long = 300 * time.Millisecond, 10 * time.Second
	c := dial()
	g.Expect(roundTrip(c, long)).To(gomega.Equal("x\n"))

	for _, held := range []faultproxy.Fault{{HoldToTarget: true}, {HoldFromTarget: true}} {
		link.Set(held)
		_, err = roundTrip(c, soon)
		g.Expect(err).To(gomega.HaveOccurred())
		link.Set(faultproxy.Fault{})
		c.SetDeadline(time.Now().Add(long))
		g.Expect(bufio.NewReader(c).ReadString('\n')).To(gomega.Equal("x\n"), "no data is lost")
	}

	link.Set(faultproxy.Fault{Delay: soon})
	began := time.Now()
	g.Expect(roundTrip(c, long)).To(gomega.Equal("x\n"))
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 2*soon))
	link.Set(faultproxy.Fault{})

	link.Silence()
	_, err = roundTrip(c, soon)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err.(net.Error).Timeout()).To(gomega.BeTrue(), "a silent connection stays open")
	c = dial()
	g.Expect(roundTrip(c, long)).To(gomega.Equal("x\n"))

	link.Reset()
	_, err = roundTrip(c, long)
	g.Expect(err).To(gomega.HaveOccurred())

	link.Set(faultproxy.Fault{Refuse: true})
	refused, err := net.Dial("tcp", link.Address())
	if err == nil {
		t.Cleanup(func() { refused.Close() })
		_, err = roundTrip(refused, long)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse(), "a refused connection is reset, not silent")
	} else {
		g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
	}
}

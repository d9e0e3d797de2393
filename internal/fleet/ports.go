package fleet

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports below the range that the kernel gives to outgoing connections, so that no client takes one in between.
const (
	firstPort = 12000
	lastPort  = 32000
)

// ports hands out free loopback addresses.
type ports struct {
	next int
}

func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort-2000)}
}

func (p *ports) address() (string, error) {
	for ; p.next < lastPort; p.next++ {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		p.next++
		return addr, nil
	}
	return "", errors.New("fleet: no free port")
}

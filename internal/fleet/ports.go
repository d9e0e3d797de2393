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
	// blockPorts is the number of ports of a fleet.
	blockPorts = 100
)

// ports hands out free loopback addresses from a block. The first port of the block is held open while the fleet runs, so
// that no other fleet takes the ports of its processes while they are down.
type ports struct {
	next, end int
	hold      net.Listener
}

func newPorts() (*ports, error) {
	const blocks = (lastPort - firstPort) / blockPorts
	for _, block := range rand.Perm(blocks) {
		first := firstPort + block*blockPorts
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return &ports{next: first + 1, end: first + blockPorts, hold: l}, nil
		}
	}
	return nil, errors.New("fleet: no free block of ports")
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (p *ports) address() (string, error) {
	for ; p.next < p.end; p.next++ {
		addr := loopback(p.next)
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

func (p *ports) close() { p.hold.Close() }

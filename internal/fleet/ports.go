package fleet

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range from which the kernel assigns ports to outgoing connections, so that no client takes
// one between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 32000
	// portsPerBlock is the number of ports of a fleet.
	portsPerBlock = 100
)

// portBlock assigns free loopback addresses from a block of ports. The first port of the block stays open while the
// fleet runs, so that no other fleet takes the ports of its processes while they are down.
type portBlock struct {
	next, end int
	reserved  net.Listener
}

func reservePorts() (*portBlock, error) {
	const blocks = (lastPort - firstPort) / portsPerBlock
	for _, block := range rand.Perm(blocks) {
		first := firstPort + block*portsPerBlock
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return &portBlock{next: first + 1, end: first + portsPerBlock, reserved: l}, nil
		}
	}
	return nil, errors.Newf("fleet: no free block of %d ports from %d to %d", portsPerBlock, firstPort, lastPort)
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (p *portBlock) address() (string, error) {
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
	return "", errors.Newf("fleet: no free port left in the block that ends at %d", p.end)
}

func (p *portBlock) close() { p.reserved.Close() }

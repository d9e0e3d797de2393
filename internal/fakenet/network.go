package fakenet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrRefused means that nothing listens on the address.
var ErrRefused = errors.New("fakenet: connection refused")

// Network connects addresses. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	blocked   func(from, to string) bool
	fault     func(from, to string) bool
	dials     int
}

// New returns a network without faults.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), conns: make(map[*conn]bool)}
}

// Listen listens on an address until the listener is closed.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, queue: make(chan net.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dialer returns a dial function for an instance that listens on from.
func (n *Network) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) { return n.dial(ctx, from, to) }
}

// Partition sets which pairs cannot reach each other, in either direction; nil ends the partition. Open connections between
// them go silent for good, as connections do whose state a device on the path has lost.
func (n *Network) Partition(blocked func(a, b string) bool) {
	n.mu.Lock()
	n.blocked = blocked
	n.mu.Unlock()
	if blocked != nil {
		n.Silence(blocked)
	}
}

// Silence makes the open connections of the pairs swallow all data without an error. New connections work.
func (n *Network) Silence(match func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c.from, c.to) || match(c.to, c.from) {
			c.silence()
		}
	}
}

// SetFault sets a function that is asked before each write whether the connection goes silent at this point.
func (n *Network) SetFault(fault func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = fault
}

// Dials returns the number of connections that were established.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	unreachable := n.blocked != nil && (n.blocked(from, to) || n.blocked(to, from))
	n.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.Wrap(ErrRefused, to)
	}
	near, far := n.pair(from, to)
	select {
	case l.queue <- far:
		return near, nil
	case <-l.done:
	case <-ctx.Done():
	}
	near.Close()
	far.Close()
	return nil, errors.Wrap(ErrRefused, to)
}

func (n *Network) pair(from, to string) (near, far *conn) {
	a, b := net.Pipe()
	near = &conn{Conn: a, network: n, from: from, to: to}
	far = &conn{Conn: b, network: n, from: to, to: from}
	near.other, far.other = far, near
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = true, true
	n.dials++
	return near, far
}

func (n *Network) faulty(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fault != nil && n.fault(c.from, c.to)
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

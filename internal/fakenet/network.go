package fakenet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrRefused is the error of a dial to an address on which nothing listens.
var ErrRefused = errors.New("fakenet: connection refused")

// Network is a set of listeners, addressed by text, and the connections to them. It is safe for concurrent use.
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

// Listen listens on an address until the listener is closed or another one replaces it.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, queue: make(chan net.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dialer returns a dial function for an instance that listens on from. It returns ErrRefused if nothing listens on the
// target, and waits for the end of the context if the target is unreachable.
func (n *Network) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) { return n.dial(ctx, from, to) }
}

// Partition sets which pairs of addresses cannot reach each other, in either direction; nil ends the partition. Open
// connections between them go silent for good, as connections do whose state a device on the path has lost.
func (n *Network) Partition(blocked func(a, b string) bool) {
	n.mu.Lock()
	n.blocked = blocked
	n.mu.Unlock()
	if blocked != nil {
		n.Silence(blocked)
	}
}

// Silence makes the open connections between matching pairs of addresses discard all data without an error. New
// connections work.
func (n *Network) Silence(match func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if match(c.from, c.to) || match(c.to, c.from) {
			c.silence()
		}
	}
}

// SetFault sets a function that is called before each write outside a yamux frame. If it returns true, the connection
// goes silent at that point.
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
	near, far := n.connect(from, to)
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

func (n *Network) connect(from, to string) (near, far *conn) {
	a, b := net.Pipe()
	near = &conn{Conn: a, network: n, from: from, to: to}
	far = &conn{Conn: b, network: n, from: to, to: from}
	near.peer, far.peer = far, near
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = true, true
	n.dials++
	return near, far
}

func (n *Network) shouldSilence(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fault != nil && n.fault(c.from, c.to)
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

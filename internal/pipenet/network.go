// Package pipenet is a network of net.Pipe connections within one process, for tests in virtual time: net/http works
// over it inside a testing/synctest bubble, where real sockets do not.
package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// errRefused is wrapped by the error of a dial to an address without a listener.
var errRefused = syscall.ECONNREFUSED

// Network is a set of listeners by address and the connections to them. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	dials     map[string]int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), dials: make(map[string]int)}
}

// Listen opens a listener. An earlier listener on the same address must be closed.
func (n *Network) Listen(addr string) net.Listener {
	l := &listener{addr: address(addr), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Dial connects to a listener. It fails like a refused TCP connection when there is none.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.dials[addr]++
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: address(addr), Err: errRefused}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
		l.track(client, server)
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Addr: address(addr), Err: ctx.Err()}
	}
}

// Dials returns the number of dials to an address, including failed ones.
func (n *Network) Dials(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[addr]
}

// Kill closes the listener of an address and its connections, as the end of the process would.
func (n *Network) Kill(addr string) {
	if l := n.closeListener(addr); l != nil {
		l.closeConns()
	}
}

// Refuse closes the listener of an address, so that dials are refused. Its connections stay open.
func (n *Network) Refuse(addr string) { n.closeListener(addr) }

// closeListener closes and returns the listener of an address, or returns nil if there is none.
func (n *Network) closeListener(addr string) *listener {
	n.mu.Lock()
	l := n.listeners[addr]
	delete(n.listeners, addr)
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
	return l
}

// Close kills all listeners.
func (n *Network) Close() {
	n.mu.Lock()
	addrs := make([]string, 0, len(n.listeners))
	for addr := range n.listeners {
		addrs = append(addrs, addr)
	}
	n.mu.Unlock()
	for _, addr := range addrs {
		n.Kill(addr)
	}
}

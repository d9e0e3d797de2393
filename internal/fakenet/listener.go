package fakenet

import (
	"net"
	"sync"
	"time"
)

var aLongTimeAgo = time.Unix(1, 0)

// listener is a net.Listener for the connections to one address.
type listener struct {
	network *Network
	address string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "fake" }
func (a address) String() string  { return string(a) }

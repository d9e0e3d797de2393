package forward

import (
	"net"
	"sync"
)

// Listener accepts the connections that Serve is called with. It is safe for concurrent use.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Serve passes a connection to Accept, or closes it if the listener is closed.
func (l *Listener) Serve(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		conn.Close()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (*Listener) Addr() net.Addr { return forwardAddr{} }

type forwardAddr struct{}

func (forwardAddr) Network() string { return "peer" }
func (forwardAddr) String() string  { return "forwarded" }

package pipenet

import (
	"net"
	"sync"
)

// address implements net.Addr.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// listener accepts the server ends of pipes. It keeps both ends of each, to close them in Network.Kill.
type listener struct {
	addr   address
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns []net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

func (l *listener) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conns...)
}

func (l *listener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.Close()
	}
}

// Package faultproxy forwards TCP connections on loopback and makes them misbehave: slow, held in one or both directions,
// silent, reset, or refused. Soaks and tests put it between processes.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is what is wrong with a link.
type Fault struct {
	// Delay passes before each piece of data is forwarded.
	Delay time.Duration
	// HoldToTarget keeps what is sent to the target until the fault ends, HoldFrom what the target sends. Nothing is lost, as on a
	// network that loses packets for a while.
	HoldToTarget, HoldFromTarget bool
	// Refuse resets new connections.
	Refuse bool
}

// Link forwards the connections of one listener to one target. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and replaced when the fault changes
	pairs   map[*pair]bool
}

// pair is a connection with its other half.
type pair struct {
	in, out net.Conn
	silent  chan struct{} // closed when the pair stops carrying data
	once    sync.Once
}

func (p *pair) close() {
	for _, c := range []net.Conn{p.in, p.out} {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) // a reset, not an orderly end
		}
		c.Close()
	}
}

func (p *pair) silence() { p.once.Do(func() { close(p.silent) }) }

// New returns a link to a target, on a loopback address of its own.
func New(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "faultproxy: listen")
	}
	link := &Link{listener: l, target: target, changed: make(chan struct{}), pairs: make(map[*pair]bool)}
	go link.accept()
	return link, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set replaces the fault. The zero Fault ends all but the silence of connections.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets the open connections.
func (l *Link) Reset() {
	for _, p := range l.open() {
		p.close()
	}
}

// Silence makes the open connections carry no data any more, without an end. New ones work.
func (l *Link) Silence() {
	for _, p := range l.open() {
		p.silence()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.Reset()
}

func (l *Link) open() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*pair
	for p := range l.pairs {
		list = append(list, p)
	}
	return list
}

func (l *Link) now() (Fault, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

func (l *Link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(in)
	}
}

func (l *Link) carry(in net.Conn) {
	p := &pair{in: in, silent: make(chan struct{})}
	fault, _ := l.now()
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if p.out = out; err != nil || fault.Refuse {
		if err != nil {
			p.out = in
		}
		p.close()
		return
	}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(p, out, in, func(f Fault) bool { return f.HoldToTarget }) })
	both.Go(func() { l.copy(p, in, out, func(f Fault) bool { return f.HoldFromTarget }) })
	both.Wait()
	in.Close()
	out.Close()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copy forwards one direction until it ends, and then ends the other side's writes.
func (l *Link) copy(p *pair, to, from net.Conn, held func(Fault) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.wait(p, held) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return
		}
	}
}

// wait passes the delay and waits while the direction is held. It returns false when the connection is silent.
func (l *Link) wait(p *pair, held func(Fault) bool) bool {
	for {
		fault, changed := l.now()
		if !held(fault) {
			select {
			case <-time.After(fault.Delay):
			case <-p.silent:
			}
			select {
			case <-p.silent:
				return false
			default:
				return true
			}
		}
		select {
		case <-changed:
		case <-p.silent:
			return false
		}
	}
}

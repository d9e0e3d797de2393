// Package faultproxy forwards TCP connections on loopback and injects faults into them: delayed, held in one or both
// directions, silent, reset, or refused. Soaks and tests put it between processes.
package faultproxy

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is a fault of a link.
type Fault struct {
	// Delay is the time that each block of data waits before it is forwarded.
	Delay time.Duration
	// HoldToTarget holds back what is sent to the target until the fault ends, HoldFromTarget what the target sends. No
	// data is lost: as over TCP on a network that loses packets for a while, it arrives late.
	HoldToTarget, HoldFromTarget bool
	// Refuse resets new connections. The client sees the reset when it dials, if it arrives before the dial returns, or
	// else at its first read or write.
	Refuse bool
}

// Link forwards the connections of one listener to one target. It is safe for concurrent use.
type Link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	fault    Fault
	changed  chan struct{} // closed and replaced when the fault changes
	pairs    map[*pair]bool
}

// pair is a client's connection with the connection to the target.
type pair struct {
	client, target net.Conn
	held           bool          // by a cut
	silent         chan struct{} // closed when the pair stops carrying data
	once           sync.Once
}

func (p *pair) close() {
	for _, c := range []net.Conn{p.client, p.target} {
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
	link := &Link{address: l.Addr().String(), listener: l, target: target, changed: make(chan struct{}), pairs: make(map[*pair]bool)}
	go link.accept(l)
	return link, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.address }

// Set replaces the fault. The zero Fault ends every fault other than the silence of connections.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets the open connections.
func (l *Link) Reset() {
	for _, p := range l.openPairs() {
		p.close()
	}
}

// Silence makes the open connections stop carrying data for good, without closing them. New connections work.
func (l *Link) Silence() {
	for _, p := range l.openPairs() {
		p.silence()
	}
}

// CloseListener refuses new connections, as a process that has ended does. Open ones go on.
func (l *Link) CloseListener() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener.Close()
}

// Listen accepts connections again on the same address after CloseListener.
func (l *Link) Listen() error {
	listener, err := net.Listen("tcp", l.Address())
	if err != nil {
		return errors.Wrap(err, "faultproxy: listen")
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.accept(listener)
	return nil
}

// Close closes the listener and resets the open connections.
func (l *Link) Close() {
	l.CloseListener()
	l.Reset()
}

func (l *Link) openPairs() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*pair
	for p := range l.pairs {
		list = append(list, p)
	}
	return list
}

// currentFault returns the fault of a pair and the channel that is closed when it changes.
func (l *Link) currentFault(p *pair) (Fault, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fault
	f.HoldToTarget = f.HoldToTarget || p.held
	f.HoldFromTarget = f.HoldFromTarget || p.held
	return f, l.changed
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

// forward connects a client to the target and forwards in both directions until both have ended.
func (l *Link) forward(client net.Conn) {
	p := &pair{client: client, silent: make(chan struct{})}
	fault, _ := l.currentFault(p)
	target, err := net.DialTimeout("tcp", l.target, time.Second)
	if p.target = target; err != nil || fault.Refuse {
		if err != nil {
			p.target = client
		}
		p.close()
		return
	}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forwardDirection(p, target, client, func(f Fault) bool { return f.HoldToTarget }) })
	both.Go(func() { l.forwardDirection(p, client, target, func(f Fault) bool { return f.HoldFromTarget }) })
	both.Wait()
	client.Close()
	target.Close()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// forwardDirection forwards data in one direction until reading or writing fails, and then closes the receiver's side
// for writing, or resets both sides after a reset. It returns without that once the pair is silent.
func (l *Link) forwardDirection(p *pair, to, from net.Conn, held func(Fault) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.waitToForward(p, held) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			p.close()
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			return
		}
	}
}

// waitToForward waits for the delay, and while the direction is held. It returns false once the pair is silent.
func (l *Link) waitToForward(p *pair, held func(Fault) bool) bool {
	for {
		fault, changed := l.currentFault(p)
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

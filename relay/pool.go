package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds a connection to a replica: seven round trips between regions of 20 ms one way. A replica that
	// lost power never answers, and the request can still go to another.
	dialTimeout = 300 * time.Millisecond
	// maxIdle bounds how long an idle connection is kept; it can go silent without notice.
	maxIdle = 3 * time.Second
	// idleMargin is kept from the idle time that a replica announces, for the time that a request travels.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one replica, whose connections are shared by all instances.
	maxIdlePerAddress = 16
	readBufferBytes   = 4 << 10
)

// Pool keeps idle connections to replicas. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn // newest last
}

// NewPool returns an empty pool. A nil dial means TCP.
func NewPool(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Pool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// get returns an idle connection or opens one. fresh forbids idle ones. All errors are marked ErrNotSent.
func (p *Pool) get(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.clean() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(dialCtx, "tcp", addr)
	switch {
	case err == nil:
		return &conn{Conn: raw, addr: addr, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
	case ctx.Err() != nil:
		return nil, errors.Mark(errors.Mark(context.Cause(ctx), ErrRequestEnded), ErrNotSent)
	case dialCtx.Err() != nil:
		err = errors.Mark(err, ErrDialTimeout)
	}
	return nil, errors.Mark(errors.Wrap(err, "relay: dial"), ErrNotSent)
}

func (p *Pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list
	}
	return c
}

// put keeps a connection whose last answer is complete. keep is how long the replica keeps it, 0 if it did not say.
func (p *Pool) put(c *conn, keep time.Duration) {
	idle := maxIdle
	if keep > 0 {
		idle = min(idle, keep-idleMargin)
	}
	if idle <= 0 {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idle)
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	list := p.idle[c.addr]
	var old *conn
	if len(list) >= maxIdlePerAddress {
		old, list = list[0], list[1:]
	}
	p.idle[c.addr] = append(list, c)
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// ConnectionRefused says whether nothing listens at an address. A connection that it gets is kept for later requests.
func (p *Pool) ConnectionRefused(ctx context.Context, addr string) bool {
	c, err := p.get(ctx, addr, true)
	if err == nil {
		p.put(c, 0)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && !now.Before(list[n].idleUntil) {
			n++
		}
		old = append(old, list[:n]...)
		if n == len(list) {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = list[n:]
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// dialTimeout bounds the connection setup. It is seven round trips between regions of 20 ms one way. A replica that
	// lost power never responds, and the request can still go to another one.
	dialTimeout = 300 * time.Millisecond
	// maxIdleTime bounds how long an idle connection is kept, because it can stop carrying data without an error.
	maxIdleTime = 3 * time.Second
	// idleMargin is subtracted from the idle time that a replica announces, to allow for the network delay of a
	// request.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one replica, because its connections are shared by all
	// instances.
	maxIdlePerAddress = 16
	readBufferBytes   = 4 << 10
)

// Pool keeps idle connections to replicas. It is safe for concurrent use.
type Pool struct {
	// OnDial, if set before the first use, is called with the outcome of each connection setup, unless the request ended
	// during it.
	OnDial func(addr string, err error)

	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// memory bounds what the exchanges buffer of responses.
	memory *semaphore.Weighted

	mu   sync.Mutex
	idle map[string][]*conn // newest last
}

// NewPool returns an empty pool. A nil dial function means TCP.
func NewPool(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Pool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Pool{dial: dial, memory: semaphore.NewWeighted(maxBufferedBytes), idle: make(map[string][]*conn)}
}

// get returns an idle connection or opens a new one; with fresh it always opens one. All errors are marked ErrNotSent.
func (p *Pool) get(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.reusable() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(dialCtx, "tcp", addr)
	if p.OnDial != nil && (err == nil || ctx.Err() == nil) {
		p.OnDial(addr, err)
	}
	switch {
	case err == nil:
		return newConn(raw, addr), nil
	case ctx.Err() != nil:
		return nil, errors.Mark(errors.Mark(context.Cause(ctx), ErrRequestEnded), ErrNotSent)
	case dialCtx.Err() != nil:
		err = errors.Mark(err, ErrDialTimeout)
	}
	return nil, errors.Mark(errors.Wrap(err, "relay: dial"), ErrNotSent)
}

func (p *Pool) popIdle(addr string) *conn {
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

// put returns a connection whose last response is complete to the pool. keepAlive is how long the replica keeps it
// open, 0 if unknown.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	idle := maxIdleTime
	if keepAlive > 0 {
		idle = min(idle, keepAlive-idleMargin)
	}
	if idle <= 0 {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idle)
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	list := p.idle[c.addr]
	var oldest *conn
	if len(list) >= maxIdlePerAddress {
		oldest, list = list[0], list[1:]
	}
	p.idle[c.addr] = append(list, c)
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// ConnectionRefused reports whether connections to an address are refused because nothing listens there. If it opens a
// connection, it puts it into the pool.
func (p *Pool) ConnectionRefused(ctx context.Context, addr string) bool {
	c, err := p.get(ctx, addr, true)
	if err == nil {
		p.put(c, 0)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Prune closes the connections whose idle time has expired.
func (p *Pool) Prune(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && !now.Before(list[n].idleUntil) {
			n++
		}
		expired = append(expired, list[:n]...)
		if n == len(list) {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = list[n:]
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

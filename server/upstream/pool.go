package upstream

import (
	"context"
	"sync"
	"time"
)

// Limits of dialing and of idle connections.
const (
	// DialTimeout bounds opening a connection. A target in the same region accepts
	// within a few milliseconds. If the SYN packet is lost, dialing is retried every
	// dial.AttemptTimeout, four times.
	DialTimeout = 1200 * time.Millisecond
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 64
	// maxIdleAge bounds how long an idle connection is kept; a target can only shorten it.
	maxIdleAge = 4 * time.Second
	// idleLimitFraction is applied to the idle limit that the target announces, because
	// the target started counting earlier.
	idleLimitFraction = 0.7
	// nonRepeatableMaxIdle bounds how long a connection may have been idle before a call
	// that must not be repeated. A target can close an idle connection without this
	// process noticing, and such a call would be lost.
	nonRepeatableMaxIdle = 300 * time.Millisecond
)

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use. No
// other lock is acquired while its lock is held.
type Pool struct {
	now func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn // by address, newest last
}

// NewPool returns an empty pool. now returns the current time.
func NewPool(now func() time.Time) *Pool {
	return &Pool{now: now, idle: map[string][]*conn{}}
}

// acquire returns a usable idle connection, or a new one. reused reports which.
func (p *Pool) acquire(ctx context.Context, address string, nonRepeatable bool) (c *conn, reused bool, err error) {
	for c := p.popIdle(address, nonRepeatable); c != nil; c = p.popIdle(address, nonRepeatable) {
		if c.reusable() {
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err = openConn(ctx, address)
	return c, false, err
}

// popIdle returns the connection that became idle last, or nil if there is none within
// its idle limit.
func (p *Pool) popIdle(address string, nonRepeatable bool) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	idle := now.Sub(c.idleSince)
	if idle > idleLimitOf(c) {
		// The others have been idle for longer and are past their limit too.
		p.idle[address] = nil
		for _, old := range list {
			_ = old.Close()
		}
		return nil
	}
	if nonRepeatable && idle > nonRepeatableMaxIdle {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func idleLimitOf(c *conn) time.Duration {
	if c.targetIdleLimit > 0 {
		return min(maxIdleAge, time.Duration(idleLimitFraction*float64(c.targetIdleLimit)))
	}
	return maxIdleAge
}

func (p *Pool) put(address string, c *conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that are past their limit.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var rest []*conn
		for _, c := range list {
			if now.Sub(c.idleSince) > idleLimitOf(c) {
				_ = c.Close()
				continue
			}
			rest = append(rest, c)
		}
		p.idle[address] = rest
		if len(rest) == 0 {
			delete(p.idle, address)
		}
	}
}

package upstream

import (
	"context"
	"sync"
	"time"
)

// Bounds on kept connections.
const (
	// DialTimeout: a target in the same region answers in a few milliseconds; a packet
	// that is lost at the opening is sent again after dial.FirstAnswer, four times.
	DialTimeout = 1200 * time.Millisecond
	// maxIdle bounds kept connections to one target.
	maxIdle = 64
	// idleLimit is how long a connection is kept where the target tells no limit.
	idleLimit = 4 * time.Second
	// idleShare of the limit that the target told: its clock started earlier.
	idleShare = 0.7
	// freshIdle bounds the idle time before a call that may not be repeated: a
	// target may drop an idle connection unseen, and such a call is then lost.
	freshIdle = 300 * time.Millisecond
)

// Pool keeps connections to targets. Its lock is a leaf.
type Pool struct {
	now func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn // by address, newest last
}

// NewPool returns a pool without connections.
func NewPool(now func() time.Time) *Pool {
	return &Pool{now: now, idle: map[string][]*conn{}}
}

// take returns a kept connection that may still be used, or a new one. kept says
// which.
func (p *Pool) take(ctx context.Context, address string, careful bool) (c *conn, kept bool, err error) {
	for c := p.pop(address, careful); c != nil; c = p.pop(address, careful) {
		if c.quiet() {
			return c, true, nil
		}
		_ = c.Close()
	}
	c, err = open(ctx, address)
	return c, false, err
}

// pop returns the newest kept connection that is young enough, nil if there is none.
func (p *Pool) pop(address string, careful bool) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	idle := now.Sub(c.idleSince)
	if idle > keepFor(c) {
		// All older ones are over their limit too.
		p.idle[address] = nil
		for _, old := range list {
			_ = old.Close()
		}
		return nil
	}
	if careful && idle > freshIdle {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func keepFor(c *conn) time.Duration {
	if c.idleLimit > 0 {
		return min(idleLimit, time.Duration(idleShare*float64(c.idleLimit)))
	}
	return idleLimit
}

func (p *Pool) put(address string, c *conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Forget closes the kept connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes kept connections that are over their limit.
func (p *Pool) Sweep() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var rest []*conn
		for _, c := range list {
			if now.Sub(c.idleSince) > keepFor(c) {
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

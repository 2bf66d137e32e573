// Package inflight counts running requests for a graceful shutdown: new requests are
// rejected first, then the running ones are awaited.
package inflight

import (
	"context"
	"sync"

	"cowsliptiller/coord/fault"
)

// Group counts running requests. Its zero value has no limit. It is safe for concurrent
// use.
type Group struct {
	limit int

	mu       sync.Mutex // no other lock is acquired while it is held
	running  int
	draining bool
	drained  chan struct{} // created by Drain, closed when the last request ends
}

// NewGroup returns a group of at most limit concurrent requests; 0: no limit.
func NewGroup(limit int) *Group {
	return &Group{limit: limit}
}

// Enter registers a running request, which the caller ends with done; further calls of
// done have no effect. Errors: fault.Leaving after Drain, fault.Overloaded at the limit;
// nothing has run then.
func (g *Group) Enter() (done func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, fault.New(fault.Leaving, "this host is draining and takes no new requests")
	}
	if g.limit > 0 && g.running >= g.limit {
		return nil, fault.New(fault.Overloaded, "this host has reached its limit of %d concurrent requests", g.limit)
	}
	g.running++
	return sync.OnceFunc(g.finish), nil
}

func (g *Group) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.drained != nil {
		close(g.drained)
		g.drained = nil
	}
}

// Running returns the number of running requests.
func (g *Group) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Draining reports whether Drain has been called.
func (g *Group) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Drain rejects new requests and waits until no request is running. It returns the
// context's error if that ends first.
func (g *Group) Drain(ctx context.Context) error {
	select {
	case <-g.startDrain():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startDrain rejects new requests and returns a channel that is closed when no request is
// running.
func (g *Group) startDrain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	if g.running == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	return g.drained
}

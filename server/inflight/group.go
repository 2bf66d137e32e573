// Package inflight counts running requests so that a process can leave without
// cutting one: new work is refused first, then what runs is waited for.
package inflight

import (
	"context"
	"sync"

	"cowsliptiller/coord/fault"
)

// Group counts running work. Its zero value takes work without a limit.
type Group struct {
	limit int

	mu      sync.Mutex // a leaf: nothing else is locked while it is held
	running int
	leaving bool
	empty   chan struct{} // made by Drain, closed when the last work ends
}

// NewGroup returns a group that holds at most limit pieces of work; 0: no limit.
func NewGroup(limit int) *Group {
	return &Group{limit: limit}
}

// Enter begins one piece of work, which the caller ends with done. Errors:
// fault.Leaving after Drain, fault.Overloaded at the limit; nothing has run.
func (g *Group) Enter() (done func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return nil, fault.New(fault.Leaving, "this host takes no new work")
	}
	if g.limit > 0 && g.running >= g.limit {
		return nil, fault.New(fault.Overloaded, "this host holds %d requests, which is its limit", g.limit)
	}
	g.running++
	return sync.OnceFunc(g.exit), nil
}

func (g *Group) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.empty != nil {
		close(g.empty)
		g.empty = nil
	}
}

// Running returns how much work runs now.
func (g *Group) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Leaving reports whether Drain was called.
func (g *Group) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Drain refuses new work and returns when none runs, or with the context's error.
func (g *Group) Drain(ctx context.Context) error {
	select {
	case <-g.leave():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Group) leave() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	if g.running == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	return g.empty
}

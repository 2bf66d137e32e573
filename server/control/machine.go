package control

import (
	"context"
	"sync"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/view"
)

// maxViews bounds the deltas kept for one revision. Followers that keep up share
// one or two; a burst of late ones falls back to building its own.
const maxViews = 64

// Machine is the replicated state as the log drives it and the role reads it. It
// implements node.StateMachine.
type Machine struct {
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{}            // closed at the next change of the view
	views   map[uint64]*coordpb.View // by since, of the present revision
}

// NewMachine returns a machine with empty state.
func NewMachine() *Machine {
	return &Machine{state: state.New(), changed: make(chan struct{}), views: map[uint64]*coordpb.View{}}
}

// Apply implements node.StateMachine.
func (m *Machine) Apply(c *coordpb.Command) *coordpb.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Revision()
	r := m.state.Apply(c)
	if m.state.Revision() != before {
		m.announce()
	}
	return r
}

// Snapshot implements node.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore implements node.StateMachine.
func (m *Machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.state.Restore(data); err != nil {
		return err
	}
	m.announce()
	return nil
}

// announce wakes the long polls. The caller holds mu.
func (m *Machine) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
	clear(m.views)
}

// Read calls f with the state, which it must not keep or change.
func (m *Machine) Read(f func(*state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// Revision returns the view's revision and a channel that is closed once it grows.
func (m *Machine) Revision() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Revision(), m.changed
}

// View returns the changes since a revision. Followers at the same revision share
// one view, which nobody changes.
func (m *Machine) View(since uint64) *coordpb.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.views[since]; ok {
		return v
	}
	v := view.Compress(m.state.View(since))
	if len(m.views) < maxViews {
		m.views[since] = v
	}
	return v
}

// await returns once the revision is at least min, or with the context's error.
func (m *Machine) await(ctx context.Context, least uint64) error {
	for {
		revision, changed := m.Revision()
		if revision >= least {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

package agent

import (
	"sync"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/target"
)

// memory is the target's memory: the ledger, the replicas and the adapters of
// coord/target under one lock.
type memory struct {
	now func() time.Time

	mu       sync.Mutex // a leaf
	replicas *target.Replicas
	adapters *target.Adapters
	loading  map[string]chan struct{} // adapter loads under way
	models   map[string]string        // adapter -> its model, of the adapters known here
	busy     map[string]bool          // models with an order under way
	replaced map[string]string        // model -> version that the load under way takes the place of
	orders   uint64                   // orders that have ended, to tell an old status from a new one
	status   *Status                  // nil while the target does not answer
	misses   int                      // looks in a row that got no answer
	watchers map[int]func()           // told at maxMisses
	nextID   int                      // of a watcher
}

func newMemory(now func() time.Time, started time.Time, spec config.TargetSpec, adapterShare int) *memory {
	ledger := target.NewLedger(spec.MemoryBytes, spec.KVCacheBytes)
	return &memory{
		now:      now,
		replicas: target.NewReplicas(ledger, started),
		adapters: target.NewAdapters(ledger, adapterShare),
		loading:  map[string]chan struct{}{},
		models:   map[string]string{},
		busy:     map[string]bool{},
		replaced: map[string]string{},
		watchers: map[int]func(){},
	}
}

// maxMisses is how many looks in a row may go unanswered before the calls that
// run are given up. A look waits two seconds, or fails at once where nobody
// listens; three are longer than a busy engine's pause, and short against the
// deadline of work that only has to be finished.
const maxMisses = 3

// watch calls lost when the target has stopped answering, until stop is called.
// A hung target keeps its connections open and gives no error: its calls would
// else wait for their whole deadline while other targets could serve them.
func (m *memory) watch(lost func()) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextID
	m.nextID++
	m.watchers[id] = lost
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.watchers, id)
	}
}

// missed notes a look that got no answer.
func (m *memory) missed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = nil
	m.misses++
	if m.misses < maxMisses {
		return
	}
	for _, lost := range m.watchers {
		lost()
	}
}

// use holds a model in memory while a request runs on it. fault.NotHere when it
// is not ready.
func (m *memory) use(model string) (release func(), err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.replicas.Reconciled() {
		// Not fault.NotHere: that would tell entry hosts that the model is gone.
		return nil, fault.New(fault.Unavailable, "the agent does not yet know what its target holds")
	}
	if err := m.replicas.Acquire(model); err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.replicas.Release(model, m.now())
	}), nil
}

// loaded returns the names of the ready models in order.
func (m *memory) loaded() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, r := range m.replicas.All() {
		if r.State == target.Ready {
			names = append(names, r.Model)
		}
	}
	return names
}

// mark returns the number of orders that have ended, for learn.
func (m *memory) mark() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders
}

// learn takes in what the target says it holds, and returns the orders that
// follow. A status that was asked for before an order ended says nothing of the
// order's effect, and is dropped.
func (m *memory) learn(status *Status, mark uint64, decided map[string]uint64) []target.Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status, m.misses = status, 0
	if m.orders != mark {
		return nil
	}
	was := m.replicas.Reconciled()
	orders := m.replicas.Reconcile(listOf(status), decided, m.now())
	if m.replicas.Reconciled() && !was {
		m.adoptAdapters(status)
	}
	m.noteEnds(status)
	m.dropAdapters()
	return orders
}

func listOf(status *Status) []target.LoadedModel {
	var list []target.LoadedModel
	for _, model := range status.Models {
		list = append(list, target.LoadedModel{Model: model.Name, Version: model.Version, Fencing: model.Fencing, Bytes: model.Bytes, Loading: model.Loading})
	}
	return list
}

// heard notes that the target answered, and nothing more.
func (m *memory) heard(status *Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status, m.misses = status, 0
}

// silent notes that the target does not answer.
func (m *memory) silent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = nil
}

// alive reports whether the target answered when it was last asked.
func (m *memory) alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status != nil
}

// noteEnds takes in loads that ended without their order's answer: the order
// was lost, or belongs to an earlier run of this agent. The caller holds mu.
func (m *memory) noteEnds(status *Status) {
	for _, r := range m.replicas.All() {
		if m.busy[r.Model] || r.State != target.Loading {
			continue
		}
		switch told := status.model(r.Model); {
		case told == nil:
			m.replicas.Unloaded(r.Model, r.Version)
		case told.Loaded:
			m.replicas.Loaded(r.Model, r.Version, m.now())
		case !told.Loading:
			m.replicas.LoadFailed(r.Model, r.Version)
		}
	}
}

// decide takes one decision and returns the order to give, nil if none. The
// model is busy until ended is called. Errors as target.Replicas.Decide.
func (m *memory) decide(d target.Decision) (*target.Order, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[d.Model] {
		return nil, nil
	}
	held, here := m.find(d.Model)
	if here && d.Load && held.Version != d.Version && held.Running > 0 {
		// Another version takes the place of this one in the engine, which
		// would cut the requests that run on it.
		return nil, fault.New(fault.Overloaded, "%d requests run on another version of %s", held.Running, d.Model)
	}
	order, err := m.replicas.Decide(d, m.now())
	if err != nil || order == nil {
		return nil, err
	}
	m.busy[d.Model] = true
	if here && held.Version != order.Version {
		m.replaced[d.Model] = held.Version
	}
	return order, nil
}

// find returns a model's replica; the caller holds mu.
func (m *memory) find(model string) (replica target.Replica, ok bool) {
	for _, r := range m.replicas.All() {
		if r.Model == model {
			return r, true
		}
	}
	return target.Replica{}, false
}

// begin makes a model busy with an order that learn returned; false if it is.
func (m *memory) begin(model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[model] {
		return false
	}
	m.busy[model] = true
	return true
}

// ended takes in what the target holds of an order's model after the order:
// nil if nothing.
func (m *memory) ended(order *target.Order, told *LoadedModel) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.busy, order.Model)
	m.orders++
	if old, ok := m.replaced[order.Model]; ok && (told == nil || told.Version != old) {
		m.replicas.Unloaded(order.Model, old)
		delete(m.replaced, order.Model)
	}
	switch {
	case told == nil:
		m.replicas.Unloaded(order.Model, order.Version)
		m.dropAdapters()
	case order.Kind == target.OrderLoad && told.Loaded && told.Version == order.Version:
		m.replicas.Loaded(order.Model, order.Version, m.now())
	case order.Kind == target.OrderLoad && !told.Loading:
		m.replicas.LoadFailed(order.Model, order.Version)
	}
}

// unknown ends an order after which the target did not tell what it holds: its
// memory stays reserved.
func (m *memory) unknown(order *target.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.busy, order.Model)
	m.orders++
}

// replica returns a model's replica here; ok is false when there is none.
func (m *memory) replica(model string) (replica target.Replica, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.find(model)
}

// settled reports whether what is known of a model here can be reported: the
// target has told what it holds, and no order for the model is under way.
func (m *memory) settled(model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replicas.Reconciled() && m.status != nil && !m.busy[model]
}

// snapshot returns what is held, and the target's last status.
func (m *memory) snapshot() ([]target.Replica, *Status, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replicas.All(), m.status, m.replicas.Reconciled()
}

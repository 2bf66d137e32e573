package engine

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
)

// Model is one loaded set of weights, as status shows it.
type Model struct {
	Name     string    `json:"name"`
	Version  string    `json:"version"`
	Bytes    int64     `json:"bytes"`
	Fencing  uint64    `json:"fencing"`
	State    string    `json:"state"` // loading, loaded or failed
	Adapters []Adapter `json:"adapters"`
}

// Adapter is one loaded adapter.
type Adapter struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// States of a model.
const (
	stateLoading = "loading"
	stateLoaded  = "loaded"
	stateFailed  = "failed"
)

// orderError is a refused order.
type orderError struct {
	status  int
	message string
	highest uint64
}

// Error implements error.
func (e *orderError) Error() string { return e.message }

// memory is what the target holds.
type memory struct {
	mu      sync.Mutex
	limit   int64
	checks  bool
	models  map[string]*Model
	highest uint64
	used    int64
	peak    int64
	evicted uint64 // grows when a crash empties the memory, so that a load in flight ends
}

func newMemory(limit int64, checks bool) *memory {
	return &memory{limit: limit, checks: checks, models: map[string]*Model{}}
}

// fence refuses an order older than the newest one obeyed for the target's
// model, where this target checks at all. The caller holds mu.
func (m *memory) fence(name string, fencing uint64) error {
	if !m.checks {
		return nil
	}
	if held, ok := m.models[name]; ok && fencing < held.Fencing {
		return &orderError{http.StatusConflict, "fenced", held.Fencing}
	}
	if fencing+fencingWindow < m.highest {
		return &orderError{http.StatusConflict, "fenced", m.highest}
	}
	return nil
}

// fencingWindow is how far orders for different models may arrive out of order.
const fencingWindow = 1 << 16

// reserve takes the memory of a load before it starts.
func (m *memory) reserve(name, version string, bytes int64, fencing uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fence(name, fencing); err != nil {
		return 0, err
	}
	if held, ok := m.models[name]; ok {
		if held.State == stateLoading {
			return 0, &orderError{http.StatusConflict, "already loading", held.Fencing}
		}
		m.used -= held.size()
		delete(m.models, name)
	}
	if m.used+bytes > m.limit {
		return 0, &orderError{http.StatusInsufficientStorage, fmt.Sprintf("memory full: %d used, %d asked, %d in all", m.used, bytes, m.limit), 0}
	}
	m.highest = max(m.highest, fencing)
	m.models[name] = &Model{Name: name, Version: version, Bytes: bytes, Fencing: fencing, State: stateLoading}
	m.used += bytes
	m.peak = max(m.peak, m.used)
	return m.evicted, nil
}

// finish ends a load; a crash in between has already emptied the memory.
func (m *memory) finish(name string, epoch uint64, state string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.models[name]
	if !ok || epoch != m.evicted {
		return &orderError{http.StatusServiceUnavailable, "restarted during the load", 0}
	}
	held.State = state
	if state == stateFailed {
		return &orderError{http.StatusBadGateway, "the load died halfway", 0}
	}
	return nil
}

func (m *memory) unload(name string, fencing uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fence(name, fencing); err != nil {
		return err
	}
	m.highest = max(m.highest, fencing)
	if held, ok := m.models[name]; ok {
		m.used -= held.size()
		delete(m.models, name)
	}
	return nil
}

func (m *memory) loadAdapter(model, name string, bytes int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.models[model]
	if !ok || held.State != stateLoaded {
		return &orderError{http.StatusNotFound, "model not loaded", 0}
	}
	if m.used+bytes > m.limit {
		return &orderError{http.StatusInsufficientStorage, "memory full", 0}
	}
	for _, a := range held.Adapters {
		if a.Name == name {
			return nil
		}
	}
	held.Adapters = append(held.Adapters, Adapter{name, bytes})
	m.used += bytes
	m.peak = max(m.peak, m.used)
	return nil
}

func (m *memory) unloadAdapter(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, held := range m.models {
		for i, a := range held.Adapters {
			if a.Name == name {
				m.used -= a.Bytes
				held.Adapters = append(held.Adapters[:i:i], held.Adapters[i+1:]...)
				return
			}
		}
	}
}

// holds reports whether a model, or an adapter on a loaded model, can serve.
func (m *memory) holds(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.models[name]; ok {
		return held.State == stateLoaded
	}
	for _, held := range m.models {
		for _, a := range held.Adapters {
			if a.Name == name && held.State == stateLoaded {
				return true
			}
		}
	}
	return false
}

// clear empties the memory, as a crash does.
func (m *memory) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.models = map[string]*Model{}
	m.used = 0
	m.evicted++
}

// list returns the models in order of name.
func (m *memory) list() (models []Model, used, peak int64, highest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	models = make([]Model, 0, len(m.models))
	for _, held := range m.models {
		c := *held
		c.Adapters = append([]Adapter{}, held.Adapters...)
		models = append(models, c)
	}
	sort.Slice(models, func(i, j int) bool { return models[i].Name < models[j].Name })
	return models, m.used, m.peak, m.highest
}

func (m *Model) size() int64 {
	n := m.Bytes
	for _, a := range m.Adapters {
		n += a.Bytes
	}
	return n
}

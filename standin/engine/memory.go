package engine

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
)

// Model is one set of weights in memory, as GET /admin/status reports it.
type Model struct {
	Name     string    `json:"name"`
	Version  string    `json:"version"`
	Bytes    int64     `json:"bytes"`
	Fencing  uint64    `json:"fencing"`
	State    string    `json:"state"` // loading, loaded or failed
	Adapters []Adapter `json:"adapters"`
}

// Adapter is one loaded adapter of a model; its size is in bytes.
type Adapter struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Values of Model.State.
const (
	stateLoading = "loading"
	stateLoaded  = "loaded"
	stateFailed  = "failed"
)

// requestError is a rejected admin request and its HTTP status.
type requestError struct {
	status         int
	message        string
	highestFencing uint64
}

func (e *requestError) Error() string { return e.message }

// memory accounts for the target's loaded models and adapters. Sizes are in bytes.
type memory struct {
	mu             sync.Mutex
	limit          int64
	enforceFencing bool
	models         map[string]*Model
	highestFencing uint64
	used           int64
	peak           int64
	epoch          uint64 // incremented by a crash, so that a load in progress detects it
}

func newMemory(limit int64, enforceFencing bool) *memory {
	return &memory{limit: limit, enforceFencing: enforceFencing, models: map[string]*Model{}}
}

// checkFencing rejects a request whose fencing number is lower than that of the loaded
// model, or more than fencingWindow below the highest one accepted. It does nothing if
// the target doesn't enforce fencing. The caller holds mu.
func (m *memory) checkFencing(name string, fencing uint64) error {
	if !m.enforceFencing {
		return nil
	}
	if entry, ok := m.models[name]; ok && fencing < entry.Fencing {
		return &requestError{http.StatusConflict, "fenced", entry.Fencing}
	}
	if fencing+fencingWindow < m.highestFencing {
		return &requestError{http.StatusConflict, "fenced", m.highestFencing}
	}
	return nil
}

// fencingWindow is how far the fencing numbers of requests for different models may
// arrive out of order.
const fencingWindow = 1 << 16

// reserve allocates the memory of a load before the load starts, replacing a model of the
// same name. It returns the epoch to pass to finish.
func (m *memory) reserve(name, version string, bytes int64, fencing uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFencing(name, fencing); err != nil {
		return 0, err
	}
	if entry, ok := m.models[name]; ok {
		if entry.State == stateLoading {
			return 0, &requestError{http.StatusConflict, "model is already loading", entry.Fencing}
		}
		m.used -= entry.size()
		delete(m.models, name)
	}
	if m.used+bytes > m.limit {
		return 0, &requestError{http.StatusInsufficientStorage, fmt.Sprintf("not enough memory: %d bytes used, %d requested, limit %d", m.used, bytes, m.limit), 0}
	}
	m.highestFencing = max(m.highestFencing, fencing)
	m.models[name] = &Model{Name: name, Version: version, Bytes: bytes, Fencing: fencing, State: stateLoading}
	m.used += bytes
	m.peak = max(m.peak, m.used)
	return m.epoch, nil
}

// finish sets the state of a load that has ended. It fails if the target crashed during
// the load, because the crash has already cleared the memory, or if the load failed.
func (m *memory) finish(name string, epoch uint64, state string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.models[name]
	if !ok || epoch != m.epoch {
		return &requestError{http.StatusServiceUnavailable, "target restarted during the load", 0}
	}
	entry.State = state
	if state == stateFailed {
		return &requestError{http.StatusBadGateway, "load failed", 0}
	}
	return nil
}

func (m *memory) unload(name string, fencing uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFencing(name, fencing); err != nil {
		return err
	}
	m.highestFencing = max(m.highestFencing, fencing)
	if entry, ok := m.models[name]; ok {
		m.used -= entry.size()
		delete(m.models, name)
	}
	return nil
}

func (m *memory) loadAdapter(model, name string, bytes int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.models[model]
	if !ok || entry.State != stateLoaded {
		return &requestError{http.StatusNotFound, "model not loaded", 0}
	}
	if m.used+bytes > m.limit {
		return &requestError{http.StatusInsufficientStorage, "not enough memory for the adapter", 0}
	}
	for _, a := range entry.Adapters {
		if a.Name == name {
			return nil
		}
	}
	entry.Adapters = append(entry.Adapters, Adapter{name, bytes})
	m.used += bytes
	m.peak = max(m.peak, m.used)
	return nil
}

func (m *memory) unloadAdapter(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range m.models {
		for i, a := range entry.Adapters {
			if a.Name == name {
				m.used -= a.Bytes
				entry.Adapters = append(entry.Adapters[:i:i], entry.Adapters[i+1:]...)
				return
			}
		}
	}
}

// canServe reports whether a model, or an adapter on a loaded model, can serve.
func (m *memory) canServe(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry, ok := m.models[name]; ok {
		return entry.State == stateLoaded
	}
	for _, entry := range m.models {
		for _, a := range entry.Adapters {
			if a.Name == name && entry.State == stateLoaded {
				return true
			}
		}
	}
	return false
}

// clear drops all models and adapters, as a crash does.
func (m *memory) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.models = map[string]*Model{}
	m.used = 0
	m.epoch++
}

// list returns the models sorted by name, the bytes in use, their peak, and the highest
// fencing number accepted.
func (m *memory) list() (models []Model, used, peak int64, highest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	models = make([]Model, 0, len(m.models))
	for _, entry := range m.models {
		c := *entry
		c.Adapters = append([]Adapter{}, entry.Adapters...)
		models = append(models, c)
	}
	sort.Slice(models, func(i, j int) bool { return models[i].Name < models[j].Name })
	return models, m.used, m.peak, m.highestFencing
}

func (m *Model) size() int64 {
	n := m.Bytes
	for _, a := range m.Adapters {
		n += a.Bytes
	}
	return n
}

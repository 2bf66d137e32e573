package agent

import (
	"context"
	"sync"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/target"
)

// The part of memory that keeps adapters.

// adoptAdapters enters the adapters that were there before this agent. The
// caller holds mu.
func (m *memory) adoptAdapters(status *Status) {
	for _, model := range status.Models {
		for _, adapter := range model.Adapters {
			if _, _, err := m.adapters.Acquire(adapter.Name, model.Name, adapter.Bytes, m.now()); err != nil {
				continue
			}
			m.adapters.AdapterLoaded(adapter.Name)
			m.adapters.Release(adapter.Name, m.now())
			m.models[adapter.Name] = model.Name
		}
	}
}

// dropAdapters frees the adapters whose model is gone: an engine that unloads a
// model, or restarts, drops its adapters with it. The caller holds mu.
func (m *memory) dropAdapters() {
	held := map[string]bool{}
	for _, r := range m.replicas.All() {
		held[r.Model] = true
	}
	for adapter, model := range m.models {
		if !held[model] && m.loading[adapter] == nil {
			m.adapters.AdapterUnloaded(adapter)
			delete(m.models, adapter)
		}
	}
}

// needAdapter holds an adapter for a request. It returns once the adapter is
// loaded; order is called for each order that this takes. The adapter is held
// until release is called, also after an error.
func (m *memory) needAdapter(ctx context.Context, spec config.AdapterSpec, order func(target.AdapterOrder)) (release func(), err error) {
	release = func() {}
	for {
		load, held, err := m.tryAdapter(spec, order)
		if held {
			release = sync.OnceFunc(func() { m.releaseAdapter(spec.Name) })
		}
		if err == nil && load == nil {
			return release, nil
		}
		if err == nil {
			return release, m.awaitAdapter(ctx, spec.Name, load)
		}
		pause := fault.From(err).RetryAfter
		if !fault.Is(err, fault.Overloaded) || pause <= 0 {
			return release, err
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return release, ctx.Err()
		}
	}
}

// tryAdapter returns the load to wait for, nil when the adapter is ready.
func (m *memory) tryAdapter(spec config.AdapterSpec, order func(target.AdapterOrder)) (load chan struct{}, held bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ready, orders, err := m.adapters.Acquire(spec.Name, spec.Model, spec.Bytes, m.now())
	for _, o := range orders {
		if o.Load {
			m.loading[o.Adapter] = make(chan struct{})
			m.models[o.Adapter] = o.Model
		}
		order(o)
	}
	if err != nil {
		return nil, false, err
	}
	if ready {
		return nil, true, nil
	}
	return m.loading[spec.Name], true, nil
}

func (m *memory) awaitAdapter(ctx context.Context, name string, load chan struct{}) error {
	select {
	case <-load:
	case <-ctx.Done():
		return ctx.Err()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.adapters.Ready(name) {
		return fault.New(fault.NoCapacity, "the adapter could not be loaded")
	}
	return nil
}

func (m *memory) releaseAdapter(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adapters.Release(name, m.now())
}

// adapterEnded takes in the end of an adapter order. A load that failed gives
// its memory back only when the target has confirmed that it is gone.
func (m *memory) adapterEnded(o target.AdapterOrder, loaded, gone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Load {
		close(m.loading[o.Adapter])
		delete(m.loading, o.Adapter)
	}
	if loaded {
		m.adapters.AdapterLoaded(o.Adapter)
	}
	if gone {
		m.adapters.AdapterUnloaded(o.Adapter)
		delete(m.models, o.Adapter)
	}
}

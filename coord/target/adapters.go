package target

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: calls for many adapters in turn at one target, each used rarely.
//
// Without a cap, the agents together ask the store for more adapter loads than it
// serves at full speed, and each takes proportionally longer. Without a rule for
// eviction, adapters fill the memory, or one that a request needs is taken away.
//
// The rule: an adapter is loaded when a call needs it, inside the ledger and inside this
// agent's share of the store's adapter loads. When it does not fit, idle adapters go,
// the longest unused first. One that a running or waiting request needs never goes.

// AdapterState is how far an adapter is.
type AdapterState int

// The states of an adapter at this target.
const (
	AdapterLoading AdapterState = iota
	AdapterReady
	AdapterUnloading
)

type adapter struct {
	name  string
	model string
	bytes int64
	state AdapterState
	needs int // running and waiting requests
	used  time.Time
}

// AdapterOrder is an order to the engine about an adapter. The answer goes to
// AdapterLoaded or AdapterGone.
type AdapterOrder struct {
	Load    bool
	Adapter string
	Model   string
}

// Adapters keeps the adapters of one target.
type Adapters struct {
	ledger   *Ledger
	share    int // loads in flight at once
	loading  int
	adapters map[string]*adapter
}

// NewAdapters returns no adapters. Share bounds this agent's loads in flight.
func NewAdapters(ledger *Ledger, share int) *Adapters {
	return &Adapters{ledger: ledger, share: max(1, share), adapters: make(map[string]*adapter)}
}

// ShareOf returns an agent's part of the store's adapter loads in flight.
func ShareOf(limit, agents int) int {
	return max(1, limit/max(1, agents))
}

// Need notes that a request needs an adapter, and is undone by Release. Ready says
// that it can run now; else the orders go to the engine and Need is not called again
// for this request: ask Ready after each answer. Errors: fault.NoCapacity when it does
// not fit beside what is needed.
func (s *Adapters) Need(name, model string, bytes int64, now time.Time) (ready bool, orders []AdapterOrder, err error) {
	a, known := s.adapters[name]
	if known && a.state != AdapterUnloading {
		a.needs++
		a.used = now
		return a.state == AdapterReady, nil, nil
	}
	if known {
		return false, nil, fault.After(fault.Overloaded, adapterRetry, "adapter %s is being unloaded", name)
	}
	if s.loading >= s.share {
		return false, nil, fault.After(fault.Overloaded, adapterRetry, "%d adapter loads are in flight", s.loading)
	}
	id := entryID("adapter/"+name, model)
	if err := s.ledger.Reserve(id, bytes); err != nil {
		return false, s.evict(bytes - s.ledger.Available() - s.leaving()), fault.After(fault.Overloaded, adapterRetry, "adapter %s waits for memory", name)
	}
	s.adapters[name] = &adapter{name: name, model: model, bytes: bytes, needs: 1, used: now}
	s.loading++
	return false, []AdapterOrder{{Load: true, Adapter: name, Model: model}}, nil
}

// adapterRetry is above the longest adapter load at full speed.
const adapterRetry = 20 * time.Millisecond

// evict orders idle adapters out, the longest unused first, until bytes are covered.
func (s *Adapters) evict(bytes int64) []AdapterOrder {
	var orders []AdapterOrder
	for bytes > 0 {
		victim := s.victim()
		if victim == nil {
			return orders
		}
		victim.state = AdapterUnloading
		bytes -= victim.bytes
		orders = append(orders, AdapterOrder{Adapter: victim.name, Model: victim.model})
	}
	return orders
}

// leaving returns the bytes that unloads under way will free.
func (s *Adapters) leaving() int64 {
	total := int64(0)
	for _, a := range s.adapters {
		if a.state == AdapterUnloading {
			total += a.bytes
		}
	}
	return total
}

func (s *Adapters) victim() *adapter {
	var best *adapter
	for _, name := range slices.Sorted(maps.Keys(s.adapters)) {
		a := s.adapters[name]
		if a.state == AdapterReady && a.needs == 0 && (best == nil || a.used.Before(best.used)) {
			best = a
		}
	}
	return best
}

// Ready reports whether an adapter is loaded.
func (s *Adapters) Ready(name string) bool {
	a, known := s.adapters[name]
	return known && a.state == AdapterReady
}

// Release undoes one Need.
func (s *Adapters) Release(name string, now time.Time) {
	if a, known := s.adapters[name]; known && a.needs > 0 {
		a.needs--
		a.used = now
	}
}

// AdapterLoaded notes the engine's word that an adapter is loaded.
func (s *Adapters) AdapterLoaded(name string) {
	a, known := s.adapters[name]
	if !known || a.state != AdapterLoading {
		return
	}
	a.state = AdapterReady
	s.loading--
	s.ledger.Confirm(entryID("adapter/"+name, a.model))
}

// AdapterGone notes the engine's word that nothing of an adapter is in memory.
func (s *Adapters) AdapterGone(name string) {
	a, known := s.adapters[name]
	if !known {
		return
	}
	if a.state == AdapterLoading {
		s.loading--
	}
	s.ledger.Free(entryID("adapter/"+name, a.model))
	delete(s.adapters, name)
}

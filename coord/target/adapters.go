package target

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: calls for many adapters in turn at one target, each used rarely.
// Without it: too many adapter loads at the store make each proportionally slower;
// adapters fill the memory, or one that a request needs is evicted.
// Rule: load on demand, within the ledger and this agent's share of the store's adapter
// loads; if memory is short, evict idle adapters only, least recently used first.

// AdapterState is the load state of an adapter.
type AdapterState int

// The states of an adapter at this target.
const (
	AdapterLoading AdapterState = iota
	AdapterReady
	AdapterUnloading
)

type adapter struct {
	name     string
	model    string
	bytes    int64
	state    AdapterState
	refs     int // running and waiting requests that use it
	lastUsed time.Time
}

// AdapterOrder instructs the engine to load (Load is true) or unload an adapter. The
// engine's confirmation is passed to AdapterLoaded or AdapterUnloaded.
type AdapterOrder struct {
	Load    bool
	Adapter string
	Model   string
}

// Adapters tracks the adapters of one target.
type Adapters struct {
	ledger     *Ledger
	maxLoading int // most loads in flight
	loading    int
	adapters   map[string]*adapter
}

// NewAdapters returns an empty set of adapters whose memory is reserved in ledger.
// At most maxLoading loads are in flight at once; values below 1 count as 1.
func NewAdapters(ledger *Ledger, maxLoading int) *Adapters {
	return &Adapters{ledger: ledger, maxLoading: max(1, maxLoading), adapters: make(map[string]*adapter)}
}

// AdapterLoadShare returns one agent's share of the store's limit on concurrent adapter loads,
// at least 1.
func AdapterLoadShare(limit, agents int) int {
	return max(1, limit/max(1, agents))
}

// Acquire acquires an adapter for a request; Release returns it. If ready is true, the
// adapter is loaded. If ready is false and err is nil, the caller sends the orders to the
// engine, does not call Acquire again for this request, and checks Ready after each
// confirmation of the engine. The error is fault.Overloaded with a retry delay while the
// adapter is being unloaded, while all load slots are in use, or when memory is short;
// in the last case the orders evict idle adapters and must be sent as well.
func (s *Adapters) Acquire(name, model string, bytes int64, now time.Time) (ready bool, orders []AdapterOrder, err error) {
	a, known := s.adapters[name]
	if known && a.state != AdapterUnloading {
		a.refs++
		a.lastUsed = now
		return a.state == AdapterReady, nil, nil
	}
	if known {
		return false, nil, fault.NewRetryAfter(fault.Overloaded, adapterRetryAfter, "adapter %s is being unloaded", name)
	}
	if s.loading >= s.maxLoading {
		return false, nil, fault.NewRetryAfter(fault.Overloaded, adapterRetryAfter, "%d adapter loads are in flight", s.loading)
	}
	id := entryID("adapter/"+name, model)
	if err := s.ledger.Reserve(id, bytes); err != nil {
		return false, s.evict(bytes - s.ledger.Available() - s.unloadingBytes()), fault.NewRetryAfter(fault.Overloaded, adapterRetryAfter, "not enough free memory for adapter %s", name)
	}
	s.adapters[name] = &adapter{name: name, model: model, bytes: bytes, refs: 1, lastUsed: now}
	s.loading++
	return false, []AdapterOrder{{Load: true, Adapter: name, Model: model}}, nil
}

// adapterRetryAfter is longer than the longest adapter load at the full speed of the store.
const adapterRetryAfter = 20 * time.Millisecond

// evict marks idle adapters as unloading, least recently used first, until they cover
// bytes or none is left, and returns the unload orders.
func (s *Adapters) evict(bytes int64) []AdapterOrder {
	var orders []AdapterOrder
	for bytes > 0 {
		victim := s.leastRecentlyUsed()
		if victim == nil {
			return orders
		}
		victim.state = AdapterUnloading
		bytes -= victim.bytes
		orders = append(orders, AdapterOrder{Adapter: victim.name, Model: victim.model})
	}
	return orders
}

// unloadingBytes returns the bytes that the unloads in progress will free.
func (s *Adapters) unloadingBytes() int64 {
	total := int64(0)
	for _, a := range s.adapters {
		if a.state == AdapterUnloading {
			total += a.bytes
		}
	}
	return total
}

// leastRecentlyUsed returns the idle, loaded adapter that was used last the longest time
// ago, or nil if there is none.
func (s *Adapters) leastRecentlyUsed() *adapter {
	var best *adapter
	for _, name := range slices.Sorted(maps.Keys(s.adapters)) {
		a := s.adapters[name]
		if a.state == AdapterReady && a.refs == 0 && (best == nil || a.lastUsed.Before(best.lastUsed)) {
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

// Release returns an adapter that a request acquired with Acquire.
func (s *Adapters) Release(name string, now time.Time) {
	if a, known := s.adapters[name]; known && a.refs > 0 {
		a.refs--
		a.lastUsed = now
	}
}

// AdapterLoaded records the engine's confirmation that an adapter is loaded.
func (s *Adapters) AdapterLoaded(name string) {
	a, known := s.adapters[name]
	if !known || a.state != AdapterLoading {
		return
	}
	a.state = AdapterReady
	s.loading--
	s.ledger.Confirm(entryID("adapter/"+name, a.model))
}

// AdapterUnloaded records the engine's confirmation that no part of an adapter is in memory,
// and frees its reservation.
func (s *Adapters) AdapterUnloaded(name string) {
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

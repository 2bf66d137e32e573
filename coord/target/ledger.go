package target

import (
	"sort"

	"cowsliptiller/coord/fault"
)

// Load pattern: overlapping loads of models, adapters and new versions; some fail halfway.
// Without it: two loads that each fit alone overcommit the memory together, and so does a
// load after a failed one whose memory the engine still holds.
// Rule: reserve before the order is sent; free only after the engine confirms that nothing
// is left in memory.

// Entry is a reservation of memory.
type Entry struct {
	ID        string
	Bytes     int64
	Confirmed bool // the engine confirmed the load
}

// Ledger accounts for a target's memory in bytes. The part for the KV cache is never
// reserved for weights.
type Ledger struct {
	capacity int64
	used     int64
	entries  map[string]Entry
}

// NewLedger returns an empty ledger with a capacity of memory minus kvCache, in bytes.
func NewLedger(memory, kvCache int64) *Ledger {
	return &Ledger{capacity: memory - kvCache, entries: make(map[string]Entry)}
}

// Reserve reserves bytes for id. It must be called before the load order is sent.
// Repeating it with the same size has no effect. Errors: fault.NoCapacity if the bytes
// exceed what is available, fault.Internal if id is reserved with another size.
func (l *Ledger) Reserve(id string, bytes int64) error {
	if e, known := l.entries[id]; known {
		if e.Bytes == bytes {
			return nil
		}
		return fault.New(fault.Internal, "%s is already reserved with another size: %d bytes", id, e.Bytes)
	}
	if bytes < 0 || bytes > l.capacity-l.used {
		return fault.New(fault.NoCapacity, "cannot reserve %d bytes: %d of %d bytes are in use", bytes, l.used, l.capacity)
	}
	l.entries[id] = Entry{ID: id, Bytes: bytes}
	l.used += bytes
	return nil
}

// Confirm marks id as loaded by the engine. It reports whether id is in the ledger.
func (l *Ledger) Confirm(id string) bool {
	e, known := l.entries[id]
	if known {
		e.Confirmed = true
		l.entries[id] = e
	}
	return known
}

// Free releases the reservation of id and reports whether there was one. It must be
// called only after the engine has confirmed that nothing of id is in memory.
func (l *Ledger) Free(id string) bool {
	e, known := l.entries[id]
	if known {
		delete(l.entries, id)
		l.used -= e.Bytes
	}
	return known
}

// Adopt records an item that the engine reports as loaded without a reservation, for
// example after a restart of the agent. It can raise the used bytes above the capacity;
// then no reservation succeeds until enough is freed.
func (l *Ledger) Adopt(id string, bytes int64) {
	l.used += bytes - l.entries[id].Bytes
	l.entries[id] = Entry{ID: id, Bytes: bytes, Confirmed: true}
}

// Has reports whether id is in the ledger.
func (l *Ledger) Has(id string) bool {
	_, known := l.entries[id]
	return known
}

// Available returns the bytes that can be reserved.
func (l *Ledger) Available() int64 { return max(0, l.capacity-l.used) }

// Used returns the reserved and adopted bytes.
func (l *Ledger) Used() int64 { return l.used }

// Capacity returns the total bytes for weights, without the KV cache.
func (l *Ledger) Capacity() int64 { return l.capacity }

// Entries returns all entries sorted by ID.
func (l *Ledger) Entries() []Entry {
	entries := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}

package target

import (
	"sort"

	"cowsliptiller/coord/fault"
)

// Load pattern: loads, adapter loads and a change of version are ordered while others
// are still under way, and some of them die halfway.
//
// Without a ledger that reserves before the order, two loads that each fit alone
// overcommit the memory together. When a reservation ends with the order's failure
// instead of the engine's word, a load that died halfway still holds memory and the
// next one overcommits it.

// Entry is a part of the memory that is spoken for.
type Entry struct {
	ID        string
	Bytes     int64
	Confirmed bool // the engine said that it is loaded
}

// Ledger accounts for a target's memory. The KV cache's part is never lent out.
type Ledger struct {
	capacity int64
	used     int64
	entries  map[string]Entry
}

// NewLedger returns a ledger over the memory that the KV cache leaves, in bytes.
func NewLedger(memory, kvCache int64) *Ledger {
	return &Ledger{capacity: memory - kvCache, entries: make(map[string]Entry)}
}

// Reserve sets bytes aside before the order goes out. Errors: fault.NoCapacity when
// they do not fit, fault.Internal for an id that is in use with other bytes.
func (l *Ledger) Reserve(id string, bytes int64) error {
	if e, known := l.entries[id]; known {
		if e.Bytes == bytes {
			return nil
		}
		return fault.New(fault.Internal, "%s is reserved with %d bytes", id, e.Bytes)
	}
	if bytes < 0 || bytes > l.capacity-l.used {
		return fault.New(fault.NoCapacity, "%d bytes do not fit: %d of %d are in use", bytes, l.used, l.capacity)
	}
	l.entries[id] = Entry{ID: id, Bytes: bytes}
	l.used += bytes
	return nil
}

// Confirm notes that the engine has it loaded; false for an unknown id.
func (l *Ledger) Confirm(id string) bool {
	e, known := l.entries[id]
	if known {
		e.Confirmed = true
		l.entries[id] = e
	}
	return known
}

// Free gives the bytes back. It is called only when the engine has confirmed that
// nothing of it is in memory.
func (l *Ledger) Free(id string) bool {
	e, known := l.entries[id]
	if known {
		delete(l.entries, id)
		l.used -= e.Bytes
	}
	return known
}

// Adopt enters what the engine says is loaded though nobody here reserved it, as after
// the agent's restart. It can take the ledger over its capacity: then nothing more is
// lent until enough is freed.
func (l *Ledger) Adopt(id string, bytes int64) {
	l.used += bytes - l.entries[id].Bytes
	l.entries[id] = Entry{ID: id, Bytes: bytes, Confirmed: true}
}

// Has reports whether an id is in the ledger.
func (l *Ledger) Has(id string) bool {
	_, known := l.entries[id]
	return known
}

// Available returns the bytes that can be reserved.
func (l *Ledger) Available() int64 { return max(0, l.capacity-l.used) }

// Used returns the bytes that are spoken for.
func (l *Ledger) Used() int64 { return l.used }

// Capacity returns the bytes for weights.
func (l *Ledger) Capacity() int64 { return l.capacity }

// Entries returns all entries in order of id.
func (l *Ledger) Entries() []Entry {
	entries := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}

package routing

import (
	"hash/fnv"
	"time"
)

// affinity records the target that last ran a prefix or an adapter.
//
// Load pattern: requests of a session share a prompt prefix; engines cache prefixes in
// limited memory and keep an adapter loaded where it was used.
// Without it: the prefix is computed and the adapter loaded again on another target.
// Rule: send the request to the target this host chose last while that has room. The
// engines' own cache events are late and incomplete, so they are not used.
type affinity struct {
	limit     int
	ttl       time.Duration
	entries   map[affinityKey]affinityEntry
	ring      []affinityKey // keys in order of insertion
	nextEvict int
}

type affinityKey struct {
	name string
	hash uint64
}

type affinityEntry struct {
	target     string
	recordedAt time.Time
}

func newAffinity(limit int, ttl time.Duration) affinity {
	return affinity{limit: limit, ttl: ttl, entries: map[affinityKey]affinityEntry{}}
}

// keyOf returns the affinity key of a request: its prefix, or else its adapter. It
// returns false if the request has neither.
func keyOf(q Request) (affinityKey, bool) {
	switch {
	case q.PrefixHash != 0:
		return affinityKey{q.Name, q.PrefixHash}, true
	case q.Adapter != "":
		h := fnv.New64a()
		_, _ = h.Write([]byte(q.Adapter))
		return affinityKey{q.Name, h.Sum64()}, true
	}
	return affinityKey{}, false
}

// lookup returns the target recorded for the request's key, or "" if there is none or it
// is older than the TTL.
func (a *affinity) lookup(q Request, now time.Time) string {
	key, ok := keyOf(q)
	if !ok {
		return ""
	}
	p, ok := a.entries[key]
	if !ok || now.Sub(p.recordedAt) > a.ttl {
		return ""
	}
	return p.target
}

// record stores the target that the request was sent to.
func (a *affinity) record(q Request, target string, now time.Time) {
	key, ok := keyOf(q)
	if !ok || a.limit == 0 {
		return
	}
	if _, known := a.entries[key]; !known {
		a.insert(key)
	}
	a.entries[key] = affinityEntry{target, now}
}

// insert adds a new key to the ring. A full ring evicts the key inserted first.
func (a *affinity) insert(key affinityKey) {
	if len(a.ring) < a.limit {
		a.ring = append(a.ring, key)
		return
	}
	delete(a.entries, a.ring[a.nextEvict])
	a.ring[a.nextEvict] = key
	a.nextEvict = (a.nextEvict + 1) % a.limit
}

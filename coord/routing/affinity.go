package routing

import (
	"hash/fnv"
	"time"
)

// affinity remembers where a prefix or an adapter ran last.
//
// Pattern of load: a session's requests share a prompt prefix, and engines keep
// prefixes in limited memory; an adapter is loaded where it was used. Sent
// elsewhere, the prefix is computed and the adapter loaded again. The engines'
// cache events come late and with gaps, so the host's own last choice is the
// better witness. It is a hint: it counts only while the target has room.
type affinity struct {
	limit   int
	life    time.Duration
	places  map[affinityKey]place
	recent  []affinityKey // ring of keys in order of insertion
	nextOut int
}

type affinityKey struct {
	name string
	hash uint64
}

type place struct {
	target string
	at     time.Time
}

func newAffinity(limit int, life time.Duration) affinity {
	return affinity{limit: limit, life: life, places: map[affinityKey]place{}}
}

// keyOf returns the key of a request: its prefix, or else its adapter.
func keyOf(q Request) (affinityKey, bool) {
	switch {
	case q.Prefix != 0:
		return affinityKey{q.Name, q.Prefix}, true
	case q.Adapter != "":
		h := fnv.New64a()
		_, _ = h.Write([]byte(q.Adapter))
		return affinityKey{q.Name, h.Sum64()}, true
	}
	return affinityKey{}, false
}

func (a *affinity) find(q Request, now time.Time) string {
	key, ok := keyOf(q)
	if !ok {
		return ""
	}
	p, ok := a.places[key]
	if !ok || now.Sub(p.at) > a.life {
		return ""
	}
	return p.target
}

func (a *affinity) note(q Request, target string, now time.Time) {
	key, ok := keyOf(q)
	if !ok || a.limit == 0 {
		return
	}
	if _, known := a.places[key]; !known {
		a.insert(key)
	}
	a.places[key] = place{target, now}
}

func (a *affinity) insert(key affinityKey) {
	if len(a.recent) < a.limit {
		a.recent = append(a.recent, key)
		return
	}
	delete(a.places, a.recent[a.nextOut])
	a.recent[a.nextOut] = key
	a.nextOut = (a.nextOut + 1) % a.limit
}

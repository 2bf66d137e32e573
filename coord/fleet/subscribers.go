package fleet

import (
	"maps"
	"slices"
	"time"
)

// ID names one start of one role on a host. A restarted process is another
// subscriber: its predecessor may be frozen rather than dead, and its lease
// counts until it lapses.
type ID struct {
	Host        string
	Role        string
	Incarnation string
}

// Subscriber is what is known of one process.
type Subscriber struct {
	ID           ID
	Acknowledged uint64    // the highest revision that it said it holds
	Granted      time.Time // when its newest freshness lease ends, as the grantor counts
	Seen         time.Time // its last poll
}

// Live reports whether its freshness lease may still hold.
func (s *Subscriber) Live(now time.Time) bool {
	return now.Before(s.Granted)
}

// Subscribers keeps the freshness leases that one control process granted.
//
// It answers when a change may be called in force: a key is withdrawn only once
// no process can act on an older view. A process that was cut off keeps serving
// by its lease and says nothing; so a lease counts until the subscriber
// acknowledged the revision or the lease ended, whichever comes first.
type Subscribers struct {
	rows    map[ID]*Subscriber
	settled time.Time
}

// NewSubscribers returns an empty table. Before settled, leases from an earlier
// start of this control process, which nobody remembers, may still hold: that is
// one whole lease after the start.
func NewSubscribers(settled time.Time) *Subscribers {
	return &Subscribers{rows: map[ID]*Subscriber{}, settled: settled}
}

// Seen notes a poll and the revision that it acknowledges.
func (t *Subscribers) Seen(id ID, revision uint64, now time.Time) {
	s := t.row(id)
	s.Seen = now
	s.Acknowledged = max(s.Acknowledged, revision)
}

// Grant notes a freshness lease that ends at until.
func (t *Subscribers) Grant(id ID, until time.Time) {
	s := t.row(id)
	if until.After(s.Granted) {
		s.Granted = until
	}
}

func (t *Subscribers) row(id ID) *Subscriber {
	s, ok := t.rows[id]
	if !ok {
		s = &Subscriber{ID: id}
		t.rows[id] = s
	}
	return s
}

// Settled reports whether every lease that could hold was granted by this start.
func (t *Subscribers) Settled(now time.Time) bool {
	return !now.Before(t.settled)
}

// InForce reports whether no process that follows through here can act on a view
// older than revision. It holds only for as long as every lease granted from now
// on carries at least that revision.
func (t *Subscribers) InForce(revision uint64, now time.Time) bool {
	if !t.Settled(now) {
		return false
	}
	for _, s := range t.rows { // any order: one row decides
		if s.Live(now) && s.Acknowledged < revision {
			return false
		}
	}
	return true
}

// List returns all subscribers in order of host, role and incarnation.
func (t *Subscribers) List() []Subscriber {
	ids := slices.SortedFunc(maps.Keys(t.rows), compare)
	out := make([]Subscriber, 0, len(ids))
	for _, id := range ids {
		out = append(out, *t.rows[id])
	}
	return out
}

// Prune forgets subscribers not seen since the time given. Their leases must have
// ended: a lease that may hold is never forgotten.
func (t *Subscribers) Prune(before, now time.Time) {
	for id, s := range t.rows { // any order: each row is judged alone
		if s.Seen.Before(before) && !s.Live(now) {
			delete(t.rows, id)
		}
	}
}

func compare(a, b ID) int {
	for _, pair := range [][2]string{{a.Host, b.Host}, {a.Role, b.Role}, {a.Incarnation, b.Incarnation}} {
		if pair[0] != pair[1] {
			if pair[0] < pair[1] {
				return -1
			}
			return 1
		}
	}
	return 0
}

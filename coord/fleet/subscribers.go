package fleet

import (
	"maps"
	"slices"
	"time"
)

// SubscriberID identifies one start of one role on a host. A restarted process is a new
// subscriber: its predecessor may be frozen rather than dead, and the predecessor's
// lease counts until it expires.
type SubscriberID struct {
	Host        string
	Role        string
	Incarnation string
}

// Subscriber is the state of one process that follows through this control process.
type Subscriber struct {
	ID           SubscriberID
	Acknowledged uint64    // highest revision that it reported to hold
	LeaseEnd     time.Time // end of its latest freshness lease on the grantor's clock
	LastPoll     time.Time // time of its last poll
}

// LeaseValid reports whether its freshness lease may still be valid.
func (s *Subscriber) LeaseValid(now time.Time) bool {
	return now.Before(s.LeaseEnd)
}

// Subscribers tracks the freshness leases that one control process granted.
//
// It determines when a change is in force: a key is withdrawn only once no process can
// act on an older view. A process that is cut off by a network partition keeps serving
// under its lease without polling, so a lease counts until the subscriber acknowledges
// the revision or the lease expires, whichever comes first.
type Subscribers struct {
	byID    map[SubscriberID]*Subscriber
	settled time.Time
}

// NewSubscribers returns an empty table. Until settled, one full lease duration after
// the start, leases granted by an earlier start of this control process may still be
// valid; they are not in the table.
func NewSubscribers(settled time.Time) *Subscribers {
	return &Subscribers{byID: map[SubscriberID]*Subscriber{}, settled: settled}
}

// RecordPoll records a poll and the revision that it acknowledges.
func (t *Subscribers) RecordPoll(id SubscriberID, revision uint64, now time.Time) {
	s := t.ensure(id)
	s.LastPoll = now
	s.Acknowledged = max(s.Acknowledged, revision)
}

// RecordLease records a freshness lease that ends at until. It never shortens a lease.
func (t *Subscribers) RecordLease(id SubscriberID, until time.Time) {
	s := t.ensure(id)
	if until.After(s.LeaseEnd) {
		s.LeaseEnd = until
	}
}

func (t *Subscribers) ensure(id SubscriberID) *Subscriber {
	s, ok := t.byID[id]
	if !ok {
		s = &Subscriber{ID: id}
		t.byID[id] = s
	}
	return s
}

// Settled reports whether every lease that may be valid was granted since this start.
func (t *Subscribers) Settled(now time.Time) bool {
	return !now.Before(t.settled)
}

// InForce reports whether no process that follows through this control process can act
// on a view older than revision. The result stays true only if every lease granted from
// now on comes with at least that revision.
func (t *Subscribers) InForce(revision uint64, now time.Time) bool {
	if !t.Settled(now) {
		return false
	}
	for _, s := range t.byID { // any order: one entry decides
		if s.LeaseValid(now) && s.Acknowledged < revision {
			return false
		}
	}
	return true
}

// List returns copies of all subscribers, sorted by host, role and incarnation.
func (t *Subscribers) List() []Subscriber {
	ids := slices.SortedFunc(maps.Keys(t.byID), compareIDs)
	out := make([]Subscriber, 0, len(ids))
	for _, id := range ids {
		out = append(out, *t.byID[id])
	}
	return out
}

// Prune removes the subscribers whose last poll was before the given time and whose
// lease has ended. One whose lease may still be valid is never removed.
func (t *Subscribers) Prune(before, now time.Time) {
	for id, s := range t.byID { // any order: entries are independent
		if s.LastPoll.Before(before) && !s.LeaseValid(now) {
			delete(t.byID, id)
		}
	}
}

func compareIDs(a, b SubscriberID) int {
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

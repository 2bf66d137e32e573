package streams

import (
	"maps"
	"time"
)

const (
	// maxObservationGap is the longest interval between observations that leaves no gap in a history. A
	// target that starts and ends within it is missed, and has served no longer than that.
	maxObservationGap = 5 * time.Second
	// maxTableLag is for how long an entry host may send requests to a target that the leader's table does not have any
	// more: until its next table, or until its lease lapses.
	maxTableLag = 5 * time.Second
)

// History holds the targets that each service has had, by the tables of the control leaders.
type History struct {
	lastSeen   map[string]map[Target]time.Time // when it may have served last, by service
	listed     map[string]map[Target]bool      // in the last table, by service
	since      time.Time                       // from when on it has no gap
	observedAt time.Time                       // of the last complete table, before it was made
	term       uint64                          // of the last complete table
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{lastSeen: map[string]map[Target]time.Time{}, listed: map[string]map[Target]bool{}}
}

// Table is a leader's table of the targets of all services.
type Table struct {
	Targets  map[string][]Target // by service
	Complete bool                // it lacks no target
	Term     uint64              // of its leader
	// AskedAt is when it was asked for: it may have been made then, and have waited for a paused process since.
	AskedAt time.Time
}

// Observe records a table. An incomplete one adds its rows to the history, but neither starts nor continues it.
func (h *History) Observe(t Table, now time.Time) {
	if t.Complete {
		h.observeEnds(now)
		if now.Sub(h.observedAt) > maxObservationGap {
			h.since = now
		}
		h.observedAt, h.term = t.AskedAt, t.Term
	}
	for service, list := range t.Targets {
		for _, target := range list {
			h.see(service, target, now)
		}
	}
	for _, seen := range h.lastSeen {
		maps.DeleteFunc(seen, func(_ Target, at time.Time) bool { return now.Sub(at) > OriginLifetime+maxTableLag })
	}
}

// ObserveTarget records a target that a table shows from now on.
func (h *History) ObserveTarget(service string, t Target, now time.Time) { h.see(service, t, now) }

func (h *History) see(service string, t Target, now time.Time) {
	if h.lastSeen[service] == nil {
		h.lastSeen[service] = map[Target]time.Time{}
	}
	if h.listed[service] == nil {
		h.listed[service] = map[Target]bool{}
	}
	h.lastSeen[service][t], h.listed[service][t] = now, true
}

// observeEnds records that the targets of the previous tables may have served until now, when the next complete
// table is observed.
func (h *History) observeEnds(now time.Time) {
	for service, list := range h.listed {
		for t := range list {
			h.lastSeen[service][t] = now
		}
	}
	clear(h.listed)
}

// KnownFor is for how long until now the history has no gap; 0: its last complete table is too old, or there was none.
func (h *History) KnownFor(now time.Time) time.Duration {
	if h.observedAt.IsZero() || now.Sub(h.observedAt) > maxObservationGap {
		return 0
	}
	return now.Sub(h.since)
}

// reaches reports whether the history has no gap from a time before now until the tables of a term.
func (h *History) reaches(span time.Duration, term uint64, now time.Time) bool {
	return !h.observedAt.IsZero() && h.term == term && now.Sub(h.since) >= span
}

// seen returns the targets that a service is known to have had for a time until now.
func (h *History) seen(service string, span time.Duration, now time.Time) (targets []Target) {
	for t, at := range h.lastSeen[service] {
		if now.Sub(at) <= span {
			targets = append(targets, t)
		}
	}
	return targets
}

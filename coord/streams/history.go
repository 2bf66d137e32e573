package streams

import (
	"maps"
	"time"
)

const (
	// maxTableAge is the age up to which the table of targets can be decided with: after it, a version
	// may serve that is not in it.
	maxTableAge = 2 * time.Second
	// maxObservationGap is the longest interval between observations that leaves no gap in a history. A
	// target that starts and ends within it is missed, and has served no longer than that.
	maxObservationGap = 5 * time.Second
)

// History holds the targets that each service has had.
type History struct {
	lastSeen   map[string]map[Target]time.Time // when it may have served last, by service
	listed     map[string]map[Target]bool      // in the last table, by service
	since      time.Time                       // from when on it has no gap
	observedAt time.Time                       // of the last complete table
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{lastSeen: map[string]map[Target]time.Time{}, listed: map[string]map[Target]bool{}}
}

// Observe records the targets of all services. An incomplete table adds its rows to the history, but neither
// starts nor continues it.
func (h *History) Observe(targets map[string][]Target, complete bool, now time.Time) {
	if complete {
		h.observeEnds(now)
		if now.Sub(h.observedAt) > maxObservationGap {
			h.since = now
		}
		h.observedAt = now
	}
	for service, list := range targets {
		if h.lastSeen[service] == nil {
			h.lastSeen[service] = map[Target]time.Time{}
		}
		if h.listed[service] == nil {
			h.listed[service] = map[Target]bool{}
		}
		for _, t := range list {
			h.lastSeen[service][t], h.listed[service][t] = now, true
		}
	}
	for _, seen := range h.lastSeen {
		maps.DeleteFunc(seen, func(_ Target, at time.Time) bool { return now.Sub(at) > OriginLifetime })
	}
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

// Targets returns the targets that a service has had for a time until now. It reports false if not
// all of them are known.
func (h *History) Targets(service string, span time.Duration, now time.Time) (targets []Target, ok bool) {
	if now.Sub(h.since) < span || now.Sub(h.observedAt) > maxTableAge {
		return nil, false
	}
	return h.seen(service, span, now), true
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

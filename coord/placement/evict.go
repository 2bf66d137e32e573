package placement

import (
	"sort"
	"time"
)

// Load pattern: memory is full of models that were requested once.
// Without it: requests for any other model wait until an idle replica is unloaded.
// Rule: evict idle replicas with the lowest retention value first. Never evict one that runs
// a request, the last one of a model with waiting requests, or one within MinResidency.

// evictable returns the replicas on t that may be evicted, lowest retention value first.
func (p *Planner) evictable(t *target, now time.Time) []*replica {
	var list []*replica
	for _, r := range t.replicas {
		if p.canEvict(r, now) {
			list = append(list, r)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return p.retentionValue(list[i], now) < p.retentionValue(list[j], now)
	})
	return list
}

// canEvict reports whether r may be evicted. Without MinResidency, two models that need the
// same memory would evict each other before either has served a request.
func (p *Planner) canEvict(r *replica, now time.Time) bool {
	if r.state != stateReady || r.running > 0 || now.Sub(r.readyAt) < p.settings.MinResidency {
		return false
	}
	return r.model.waiting == 0 || r.model.servingCount() > 1
}

// retentionValue returns the waiting time that keeping r is expected to save, in seconds per
// second.
func (p *Planner) retentionValue(r *replica, now time.Time) float64 {
	others := max(1, r.model.servingCount())
	return r.model.arrivals.rate(p.configuredAt, now) * p.expectedLoadTime(r.model, r.target).Seconds() / float64(others)
}

// selectEviction returns the target on which loading m after evictions costs least, the
// replicas to evict there, and the cost in seconds; nil if no target qualifies. With cachedOnly
// it considers only hosts from whose own copy m would be loaded: when another target has free
// memory, an eviction is worthwhile only for a load that is faster and does not use the store.
func (p *Planner) selectEviction(m *model, cachedOnly bool, storeWait time.Duration, now time.Time) (*target, []*replica, float64) {
	var best *target
	var victims []*replica
	bestCost := 0.0
	if m.spec.Bytes > p.largestFit.afterEviction {
		return nil, nil, 0
	}
	names := p.targetNames
	if cachedOnly {
		names = m.spec.Cached
	}
	for _, name := range names {
		t := p.targets[name]
		if t == nil || cachedOnly && !p.isLocal(m, t) || !p.canLoad(m, t, now) {
			continue
		}
		list, value, ok := p.selectVictims(m, t, now)
		if !ok || !cachedOnly && p.deferEviction(m, list, now) {
			continue
		}
		cost := p.loadCost(m, t, storeWait) + evictionTime.Seconds() + p.settings.EvictionHorizon.Seconds()*value
		if best == nil || cost < bestCost {
			best, victims, bestCost = t, list, cost
		}
	}
	return best, victims, bestCost
}

// deferEviction reports whether evicting list for m would make more requests wait, namely
// those expected for the evicted models within EvictionHorizon, than are waiting for m now. A
// model that has waited for MaxEvictionDelay is not deferred, to prevent starvation.
func (p *Planner) deferEviction(m *model, list []*replica, now time.Time) bool {
	if m.wantsScaleUp || now.Sub(m.waitingSince) > p.settings.MaxEvictionDelay {
		return false
	}
	expected := 0.0
	for _, r := range list {
		if r.model.servingCount() < 2 {
			expected += r.model.arrivals.rate(p.configuredAt, now) * p.settings.EvictionHorizon.Seconds()
		}
	}
	return expected > float64(m.waiting)
}

// selectVictims returns the replicas to evict on t so that m fits, the sum of their retention
// values, and whether that frees enough. Memory of replicas that are already being unloaded
// counts as free.
func (p *Planner) selectVictims(m *model, t *target, now time.Time) ([]*replica, float64, bool) {
	need := m.spec.Bytes - t.freeBytes()
	for _, r := range t.replicas {
		if r.state == stateUnload {
			need -= r.bytes
		}
	}
	var list []*replica
	value := 0.0
	for _, r := range p.evictable(t, now) {
		if need <= 0 {
			break
		}
		list = append(list, r)
		value += p.retentionValue(r, now)
		need -= r.bytes
	}
	return list, value, need <= 0
}

func (p *Planner) releaseReservation(m *model) {
	if m.reservedTarget == nil {
		return
	}
	m.reservedTarget.reservedBytes -= m.spec.Bytes
	m.reservedTarget = nil
}

// releaseStaleReservations releases the reservations of models that no longer need a replica,
// those on targets that are no longer usable, and those whose evictions exceed
// reservationTimeout.
func (p *Planner) releaseStaleReservations(now time.Time) {
	p.forEachModel(func(m *model) {
		if m.reservedTarget == nil {
			return
		}
		late := m.reservedTarget.freeBytes() < 0 && now.Sub(m.reservedAt) > reservationTimeout
		if late || !m.needsReplica() || !m.reservedTarget.usable() {
			p.releaseReservation(m)
		}
	})
}

// reservationTimeout limits how long a reservation waits for evictions to free its memory. An
// eviction that takes longer is assumed to hang, and another target is chosen.
const reservationTimeout = 5 * time.Second

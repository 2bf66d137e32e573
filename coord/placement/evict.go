package placement

import (
	"sort"
	"time"
)

// Eviction. Pattern of load: memory is full of models that were asked for once.
// Evicted is what is idle, cheapest to bring back and least likely to be asked
// for: never a replica that runs a request, never the last one of a model for
// which requests wait, never one that has been ready for less than MinStay
// (two models that want the same memory would otherwise evict each other before
// either served).

// evictable returns the replicas on t that may go, least valuable first.
func (p *Planner) evictable(t *target, now time.Time) []*replica {
	var list []*replica
	for _, r := range t.replicas {
		if p.mayEvict(r, now) {
			list = append(list, r)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return p.keepValue(list[i], now) < p.keepValue(list[j], now)
	})
	return list
}

func (p *Planner) mayEvict(r *replica, now time.Time) bool {
	if r.state != stateReady || r.running > 0 || now.Sub(r.ready) < p.settings.MinStay {
		return false
	}
	return r.model.waiting == 0 || r.model.servingCount() > 1
}

// keepValue is what a second of keeping r is worth, in seconds of waiting saved.
func (p *Planner) keepValue(r *replica, now time.Time) float64 {
	others := max(1, r.model.servingCount())
	return r.model.arrivals.perSecond(p.began, now) * p.loadTime(r.model, r.target).Seconds() / float64(others)
}

// makeRoom finds the target on which evictions for m cost least, and what to evict
// there. Where there is room elsewhere only hosts that hold the checkpoint come into
// question: their load leaves the store to others and is over sooner.
func (p *Planner) makeRoom(m *model, cachedOnly bool, storeWait time.Duration, now time.Time) (*target, []*replica, float64) {
	var best *target
	var victims []*replica
	bestCost := 0.0
	if m.spec.Bytes > p.reach.soon {
		return nil, nil, 0
	}
	names := p.targetNames
	if cachedOnly {
		names = m.spec.Cached
	}
	for _, name := range names {
		t := p.targets[name]
		if t == nil || cachedOnly && !p.isLocal(m, t) || !p.allowed(m, t, now) {
			continue
		}
		list, value, ok := p.victims(m, t, now)
		if !ok || !cachedOnly && p.premature(m, list, now) {
			continue
		}
		cost := p.cost(m, t, storeWait) + evictionTime.Seconds() + p.settings.EvictHorizon.Seconds()*value
		if best == nil || cost < bestCost {
			best, victims, bestCost = t, list, cost
		}
	}
	return best, victims, bestCost
}

// premature reports whether evicting list for m makes more requests wait than wait
// for m now: those expected for the evicted models within EvictHorizon. A model that
// has waited for Patience is let in all the same, or it would starve.
func (p *Planner) premature(m *model, list []*replica, now time.Time) bool {
	if m.wantsMore || now.Sub(m.waitingFrom) > p.settings.Patience {
		return false
	}
	expected := 0.0
	for _, r := range list {
		if r.model.servingCount() < 2 {
			expected += r.model.arrivals.perSecond(p.began, now) * p.settings.EvictHorizon.Seconds()
		}
	}
	return expected > float64(m.waiting)
}

// victims returns what to unload on t for m. Memory of replicas that already
// unload counts as coming.
func (p *Planner) victims(m *model, t *target, now time.Time) ([]*replica, float64, bool) {
	need := m.spec.Bytes - t.free()
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
		value += p.keepValue(r, now)
		need -= r.bytes
	}
	return list, value, need <= 0
}

func (p *Planner) dropPromise(m *model) {
	if m.keptOn == nil {
		return
	}
	m.keptOn.promised -= m.spec.Bytes
	m.keptOn = nil
}

// dropPromises frees the memory kept for models that no longer need a replica, for
// those whose target was lost, and where evictions take too long.
func (p *Planner) dropPromises(now time.Time) {
	p.each(func(m *model) {
		if m.keptOn == nil {
			return
		}
		late := m.keptOn.free() < 0 && now.Sub(m.keptFrom) > reservedFor
		if late || !m.needsReplica() || !m.keptOn.usable() {
			p.dropPromise(m)
		}
	})
}

// reservedFor is how long memory that is not free yet is kept for a model: an
// eviction that takes longer hangs, and another target is chosen.
const reservedFor = 5 * time.Second

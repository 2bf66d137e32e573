package placement

import "time"

// The target of a load. Pattern of load: checkpoints lie on some hosts, memory is free
// on others, and the store is busy. All is counted in seconds that someone waits, so
// that a fast load that needs an eviction and a slow one that needs none compare.
// Chosen by free memory alone, a burst would load from the store what a host has on
// its disk.

// place finds the target with room on which m costs least.
func (p *Planner) place(m *model, storeWait time.Duration, now time.Time) (*target, float64) {
	var best *target
	var bestCost float64
	if m.spec.Bytes > p.reach.now {
		return nil, 0
	}
	for _, name := range p.targetNames {
		t := p.targets[name]
		if t.free() < m.spec.Bytes || !p.allowed(m, t, now) {
			continue
		}
		cost := p.cost(m, t, storeWait)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost
}

const (
	// busyCost is what a full target costs, in seconds: its requests and the
	// new model's would share it.
	busyCost = 4.0
	// coldCost is what a target that holds nothing costs, in seconds: it
	// becomes one more accelerator that can idle.
	coldCost = 0.5
	// domainCost is what a second replica in the same failure domain costs, in
	// seconds: one loss would take both.
	domainCost = 30.0
)

// cost is the price of placing m on t in seconds of waiting. A load from the store
// first waits for it.
func (p *Planner) cost(m *model, t *target, storeWait time.Duration) float64 {
	cost := p.loadTime(m, t).Seconds() + busyCost*t.busyShare()
	if !p.isLocal(m, t) {
		cost += storeWait.Seconds()
	}
	if len(t.replicas) == 0 {
		cost += coldCost
	}
	for _, r := range m.replicas {
		if r.state != stateUnload && r.target.spec.FailureDomain == t.spec.FailureDomain {
			cost += domainCost
		}
	}
	return cost
}

// allowed reports whether m may be loaded on t at all at present.
func (p *Planner) allowed(m *model, t *target, now time.Time) bool {
	if !t.usable() || t.spec.WeightBytes() < m.spec.Bytes {
		return false
	}
	key := replicaKey{m.spec.Name, t.spec.Name}
	if p.replicas[key] != nil {
		return false
	}
	return len(p.failures) == 0 || !now.Before(p.failures[key].until)
}

// isLocal reports whether a load of m on t leaves the store alone: the host is
// listed as holding the checkpoint, and such loads were measured faster than from
// the store, on this host or, before any on it, over the fleet. The list alone is
// not believed: a stale one would overrun the store.
func (p *Planner) isLocal(m *model, t *target) bool {
	ratio, measured := p.localShare(t)
	return m.cached[t.spec.Name] && measured && ratio < localRatio
}

// localShare is the expected ratio of a load on t, or on any target if t is nil,
// from its own copy to the time from the store.
func (p *Planner) localShare(t *target) (ratio float64, measured bool) {
	switch {
	case t != nil && t.local > 0:
		return t.local, true
	case p.store.local > 0:
		return p.store.local, true
	}
	return hopedLocal, false
}

const (
	// localRatio is the ratio to the time from the store below which a load
	// is taken as local.
	localRatio = 0.7
	// hopedLocal is the ratio assumed for a listed host before any was measured.
	hopedLocal = 0.5
)

// loadTime is the expected time of a load of m on t.
func (p *Planner) loadTime(m *model, t *target) time.Duration {
	ratio := p.store.slowdown
	if m.cached[t.spec.Name] {
		ratio, _ = p.localShare(t)
	}
	return time.Duration(m.spec.LoadTime.Seconds() * ratio * float64(time.Second))
}

package placement

import "time"

// Load pattern: checkpoints are cached on some hosts, memory is free on others, and the store is busy.
// Without it: a choice by free memory alone loads from the store what another host has on its disk.
// Rule: load on the target with the lowest cost. All costs are in seconds of waiting, so
// that a fast load after an eviction compares with a slow load without one.

// selectTarget returns the target with the lowest cost among those with enough free memory
// for m, and the cost in seconds. It returns nil if there is none.
func (p *Planner) selectTarget(m *model, storeWait time.Duration, now time.Time) (*target, float64) {
	var best *target
	var bestCost float64
	if m.spec.Bytes > p.largestFit.free {
		return nil, 0
	}
	for _, name := range p.targetNames {
		t := p.targets[name]
		if t.freeBytes() < m.spec.Bytes || !p.canLoad(m, t, now) {
			continue
		}
		cost := p.loadCost(m, t, storeWait)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost
}

const (
	// utilizationCost is the cost of a fully utilized target, in seconds: the new
	// model's requests compete with the running ones.
	utilizationCost = 4.0
	// emptyTargetCost is the cost of a target without replicas, in seconds: using it
	// adds an accelerator that may sit idle later.
	emptyTargetCost = 0.5
	// sharedDomainCost is the cost of each other replica of the model in the same
	// failure domain, in seconds: one failure would take down both.
	sharedDomainCost = 30.0
)

// loadCost returns the cost of loading m on t, in seconds of waiting. A load from the store
// also waits storeWait for a slot.
func (p *Planner) loadCost(m *model, t *target, storeWait time.Duration) float64 {
	cost := p.expectedLoadTime(m, t).Seconds() + utilizationCost*t.utilization()
	if !p.isLocal(m, t) {
		cost += storeWait.Seconds()
	}
	if len(t.replicas) == 0 {
		cost += emptyTargetCost
	}
	for _, r := range m.replicas {
		if r.state != stateUnload && r.target.spec.FailureDomain == t.spec.FailureDomain {
			cost += sharedDomainCost
		}
	}
	return cost
}

// canLoad reports whether m may be loaded on t at present, regardless of free memory: t is
// usable and large enough, has no replica of m, and is not in backoff after a failed load.
func (p *Planner) canLoad(m *model, t *target, now time.Time) bool {
	if !t.usable() || t.spec.WeightBytes() < m.spec.Bytes {
		return false
	}
	key := replicaKey{m.spec.Name, t.spec.Name}
	if p.replicas[key] != nil {
		return false
	}
	return len(p.failures) == 0 || !now.Before(p.failures[key].retryAt)
}

// isLocal reports whether a load of m on t is expected to read the host's own copy and not
// the store: the configuration lists the checkpoint as cached on the host, and loads of
// cached checkpoints were measured to be faster than from the store, on this host or,
// before its first one, over the fleet. The configuration alone does not suffice: if it
// is stale, the loads would exceed the store's limits.
func (p *Planner) isLocal(m *model, t *target) bool {
	ratio, measured := p.localRatio(t)
	return m.cached[t.spec.Name] && measured && ratio < maxLocalRatio
}

// localRatio returns the expected ratio of the time of a load from the host's own copy to
// the full-speed time from the store, on t or, if t is nil, on any target. It reports
// whether the ratio was measured.
func (p *Planner) localRatio(t *target) (ratio float64, measured bool) {
	switch {
	case t != nil && t.localRatio > 0:
		return t.localRatio, true
	case p.store.localRatio > 0:
		return p.store.localRatio, true
	}
	return defaultLocalRatio, false
}

const (
	// maxLocalRatio is the ratio to the time from the store below which a load
	// of a cached checkpoint is taken as local.
	maxLocalRatio = 0.7
	// defaultLocalRatio is the ratio assumed for a cached checkpoint before one was
	// measured.
	defaultLocalRatio = 0.5
)

// expectedLoadTime returns the expected time of a load of m on t, without the wait for the store.
func (p *Planner) expectedLoadTime(m *model, t *target) time.Duration {
	ratio := p.store.slowdown
	if m.cached[t.spec.Name] {
		ratio, _ = p.localRatio(t)
	}
	return time.Duration(m.spec.LoadTime.Seconds() * ratio * float64(time.Second))
}

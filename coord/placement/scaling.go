package placement

import "time"

// Load pattern: a model whose replicas stay busy.
// Without it: its requests queue on one target while others idle or hold idle models.
// Rule: add one replica at a time after ScaleUpDelay, as a short peak ends before a replica is
// loaded; remove one after ScaleDownDelay at a much lower load. A scale-up waits in the load
// queue and can evict idle models, like a cold start.

// minModelUtilization is the share of its targets' concurrency that a model itself must use to
// count as busy, unless its own requests wait. A model with little load that shares its target
// with a busy one needs no additional replica.
const minModelUtilization = 0.25

// updateScaling updates since when m's replicas have been busy, since when one of them has been
// surplus, and whether m should get another one.
func (p *Planner) updateScaling(m *model, now time.Time) {
	running, capacity, modelRunning := 0, 0, 0
	n := 0
	for _, r := range m.replicas {
		if r.serving() {
			running += r.target.running + r.target.queued
			modelRunning += r.running
			capacity += r.target.spec.Concurrency
			n++
		}
	}
	m.wantsScaleUp = false
	if n == 0 {
		m.busySince, m.surplusSince = time.Time{}, time.Time{}
		return
	}
	busy := float64(running) > p.settings.ScaleUpUtilization*float64(capacity) &&
		(float64(modelRunning) >= minModelUtilization*float64(capacity) || m.waiting > 0)
	surplus := n > 1 && float64(running) < p.settings.ScaleDownUtilization*float64(capacity)*float64(n-1)/float64(n)
	m.busySince = conditionSince(m.busySince, busy, now)
	m.surplusSince = conditionSince(m.surplusSince, surplus, now)
	m.wantsScaleUp = busy && now.Sub(m.busySince) >= p.settings.ScaleUpDelay
}

// conditionSince returns since when a condition has held without interruption, given its
// previous start and whether it holds now; zero if it does not.
func conditionSince(from time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case from.IsZero():
		return now
	}
	return from
}

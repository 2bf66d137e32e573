package placement

import "time"

// Load pattern: first requests for many models arrive in a burst at many entry hosts.
// Without it: each host's first request loads from the store, and copies of one model share its bandwidth.
// Rule: queue each model once, however many hosts request it; one load serves them all.

// maxReservationsPerRound limits the models for which a round selects a target, to keep a round
// near-linear when no target has memory. Models that already have a reservation don't count. If
// the store allows more concurrent loads, the limit is that number.
const maxReservationsPerRound = 16

// storeLoadsInFlight returns the number of loads that read from the store. A load that this
// planner did not propose is counted as one.
func (p *Planner) storeLoadsInFlight() int {
	n := 0
	for _, r := range p.replicas {
		if r.loading() && (r.fromStore || !r.loadObserved) {
			n++
		}
	}
	return n
}

// planLoads starts loads for waiting models and reserves memory for those that wait for the
// store or for evictions. It returns the decisions and the models that still wait, in queue
// order.
func (p *Planner) planLoads(now time.Time) ([]Decision, []*model) {
	var out []Decision
	var pending []*model
	queue := p.loadQueue(now)
	slots := p.slotWaits(now)
	attempts := 0
	for i, m := range queue {
		if m.reservedTarget == nil {
			attempts++
		}
		if attempts > max(maxReservationsPerRound, p.store.slots) {
			pending = append(pending, queue[i:]...)
			break
		}
		wait := slots[min(len(pending), len(slots)-1)] + p.storeContention(m, len(queue)-i)
		reason := ReasonDemand
		if m.wantsScaleUp {
			reason = ReasonSustainedLoad
		}
		decisions, started := p.planLoad(m, reason, wait, now)
		out = append(out, decisions...)
		if !started {
			pending = append(pending, m)
			continue
		}
		m.busySince, m.wantsScaleUp = time.Time{}, false
		slots = p.slotWaits(now)
	}
	return out, pending
}

// storeContention returns the total delay that a load of m from the store causes to other loads.
// n is the number of waiting models, including m. If it exceeds the store's slots, each model in
// excess is delayed by the load time divided by the number of slots; a high total makes evictions
// on a host with the checkpoint worthwhile.
func (p *Planner) storeContention(m *model, n int) time.Duration {
	behind := n - p.store.slots
	if behind <= 0 {
		return 0
	}
	load := float64(m.spec.LoadTime) * p.store.slowdown
	return time.Duration(load * float64(behind) / float64(p.store.slots))
}

// planLoad starts the load of one model, or reserves memory for it, with evictions if needed. It
// reserves memory as soon as the model waits: otherwise models behind it in the queue could take
// the memory while it waits for the store, and its evictions would begin only then.
func (p *Planner) planLoad(m *model, reason Reason, storeWait time.Duration, now time.Time) ([]Decision, bool) {
	var out []Decision
	if m.reservedTarget == nil {
		out = p.reserve(m, storeWait, now)
	}
	t := m.reservedTarget
	if t != nil && !p.canLoad(m, t, now) {
		p.releaseReservation(m)
		return out, false
	}
	if t == nil || t.freeBytes() < 0 {
		return out, false
	}
	if !p.isLocal(m, t) && (p.storeLoadsInFlight() >= p.store.slots || !p.store.canStart(now)) {
		return out, false
	}
	p.releaseReservation(m)
	return append(out, p.propose(Decision{m.spec.Name, t.spec.Name, true, reason}, now)), true
}

// reserve reserves memory for m on the target with the lowest cost, either one with free memory
// or one where evictions make room, and returns the decisions to evict.
func (p *Planner) reserve(m *model, storeWait time.Duration, now time.Time) []Decision {
	best, cost := p.selectTarget(m, storeWait, now)
	room, victims, roomCost := p.selectEviction(m, best != nil, storeWait, now)
	if room != nil && (best == nil || roomCost < cost) {
		best = room
	} else {
		victims = nil
	}
	if best == nil {
		return nil
	}
	m.reservedTarget, m.reservedAt = best, now
	best.reservedBytes += m.spec.Bytes
	var out []Decision
	for _, r := range victims {
		out = append(out, p.propose(Decision{r.model.spec.Name, best.spec.Name, false, ReasonEvicted}, now))
	}
	return out
}

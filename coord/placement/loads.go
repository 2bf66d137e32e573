package placement

import "time"

// Cold starts. Pattern of load: first requests for many models arrive in a burst
// at many entry hosts. Each model is one entry of the queue, however many hosts
// ask: one load serves them all. Without that each host's first request would draw
// on the store, and the store's speed would be shared by copies of one model.

// triesPerRound bounds the models for which a round looks for a place: it keeps
// a round near-linear when nothing fits anywhere. Models for which memory is kept
// already cost nothing. Where the store takes more at once, as many are tried.
const triesPerRound = 16

// inFlight counts loads that draw on the store.
func (p *Planner) inFlight() int {
	n := 0
	for _, r := range p.replicas {
		if r.loading() && (r.fetched || !r.seen) {
			n++
		}
	}
	return n
}

// planLoads starts loads for waiting models, and keeps memory for those that wait
// for the store or for evictions. It returns the decisions and the models that
// still wait.
func (p *Planner) planLoads(now time.Time) ([]Decision, []*model) {
	var out []Decision
	var left []*model
	queue := p.waitingModels(now)
	slots := p.slotTimes(now)
	tries := 0
	for i, m := range queue {
		if m.keptOn == nil {
			tries++
		}
		if tries > max(triesPerRound, p.store.slots) {
			left = append(left, queue[i:]...)
			break
		}
		wait := slots[min(len(left), len(slots)-1)] + p.storePressure(m, len(queue)-i)
		why := ReasonDemand
		if m.wantsMore {
			why = ReasonBusy
		}
		decisions, started := p.planLoad(m, why, wait, now)
		out = append(out, decisions...)
		if !started {
			left = append(left, m)
			continue
		}
		m.busyFrom, m.wantsMore = time.Time{}, false
		slots = p.slotTimes(now)
	}
	return out, left
}

// storePressure is by how much a load of m from the store delays the others that
// wait, of n in all, where they are more than the store's slots: each of them by one
// slot's part of the load. A host with the checkpoint is then worth clearing.
func (p *Planner) storePressure(m *model, n int) time.Duration {
	behind := n - p.store.slots
	if behind <= 0 {
		return 0
	}
	load := float64(m.spec.LoadTime) * p.store.slowdown
	return time.Duration(load * float64(behind) / float64(p.store.slots))
}

// planLoad does what can be done for one model now: start its load, or keep memory
// for it, freeing some where needed. The memory is kept from the moment the model
// waits, or models behind it in the queue would take it while it waits for the
// store, and the eviction would begin only then.
func (p *Planner) planLoad(m *model, why Reason, storeWait time.Duration, now time.Time) ([]Decision, bool) {
	var out []Decision
	if m.keptOn == nil {
		out = p.reserve(m, storeWait, now)
	}
	t := m.keptOn
	if t != nil && !p.allowed(m, t, now) {
		p.dropPromise(m)
		return out, false
	}
	if t == nil || t.free() < 0 {
		return out, false
	}
	if !p.isLocal(m, t) && (p.inFlight() >= p.store.slots || !p.store.mayStart(now)) {
		return out, false
	}
	p.dropPromise(m)
	return append(out, p.propose(Decision{m.spec.Name, t.spec.Name, true, why}, now)), true
}

// reserve keeps memory for m on the target where it is ready first: one with room,
// or one where evictions make room, with the decisions to evict.
func (p *Planner) reserve(m *model, storeWait time.Duration, now time.Time) []Decision {
	best, cost := p.place(m, storeWait, now)
	room, victims, roomCost := p.makeRoom(m, best != nil, storeWait, now)
	if room != nil && (best == nil || roomCost < cost) {
		best = room
	} else {
		victims = nil
	}
	if best == nil {
		return nil
	}
	m.keptOn, m.keptFrom = best, now
	best.promised += m.spec.Bytes
	var out []Decision
	for _, r := range victims {
		out = append(out, p.propose(Decision{r.model.spec.Name, best.spec.Name, false, ReasonEvicted}, now))
	}
	return out
}

package placement

import (
	"sort"
	"time"
)

// Cold starts. Pattern of load: first requests for many models arrive in a burst
// at many entry hosts. Each model is one entry of the queue, however many hosts
// ask: one load serves them all. The queue is in order of the earliest waiting
// deadline. A model whose deadline no load can meet any more goes behind those
// that can still be met, or each late load would make the next one late too; but
// it moves to the front after starvationLoads of its own load times, so that it
// is loaded in the end for those who come back.
const starvationLoads = 4

// triesPerRound bounds the models for which a round looks for a place: it keeps
// a round near-linear when nothing fits anywhere.
const triesPerRound = 16

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

// waitingModels returns the models that need a load, most urgent first.
func (p *Planner) waitingModels(now time.Time) []*model {
	var queue []*model
	p.each(func(m *model) {
		if m.needsReplica() && !m.wantsMore {
			queue = append(queue, m)
		}
	})
	rank := make(map[*model]int, len(queue))
	for _, m := range queue {
		rank[m] = p.urgency(m, now)
	}
	due := p.dueOrder(queue, now)
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return due(a).Before(due(b))
	})
	return queue
}

// dueOrder returns what the queue is ordered by. Deadlines of a burst are nearly
// the same. When all of it can be loaded before the first of them, the long loads
// go first, each by its latest start, as a long load that starts last ends last.
// When it cannot, that would give the slots to few models: then by deadline alone.
func (p *Planner) dueOrder(queue []*model, now time.Time) func(*model) time.Time {
	byDeadline := func(m *model) time.Time { return m.deadline }
	work := 0.0
	var first time.Time
	for _, m := range queue {
		if first.IsZero() || m.deadline.Before(first) {
			first = m.deadline
		}
		share := 1.0
		if len(m.spec.Cached) > 0 {
			share, _ = p.localShare(nil)
		}
		work += m.spec.LoadTime.Seconds() * share * p.store.slowdown
	}
	if work > fitShare*first.Sub(now).Seconds()*float64(p.store.slots) {
		return byDeadline
	}
	return func(m *model) time.Time {
		return m.deadline.Add(-time.Duration(float64(m.spec.LoadTime) * p.store.slowdown))
	}
}

// fitShare is the part of the time before the first deadline that the loads of a
// queue may take to count as fitting: the rest is for the answers themselves.
const fitShare = 0.6

// urgency ranks a waiting model: 0 starved, 1 its deadline can be met, 2 it cannot.
func (p *Planner) urgency(m *model, now time.Time) int {
	load := time.Duration(float64(m.spec.LoadTime) * p.store.slowdown)
	if now.Sub(m.waitingFrom) > starvationLoads*load {
		return 0
	}
	if m.deadline.Before(now.Add(load)) {
		return 2
	}
	return 1
}

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
	for i, m := range queue {
		if i >= triesPerRound {
			left = append(left, queue[i:]...)
			break
		}
		decisions, started := p.planLoad(m, ReasonDemand, slots[min(len(left), len(slots)-1)], now)
		out = append(out, decisions...)
		if !started {
			left = append(left, m)
			continue
		}
		slots = p.slotTimes(now)
	}
	return out, left
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

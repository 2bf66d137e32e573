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
// listed as holding the checkpoint and a load there was measured faster than
// from the store. The list alone is not believed: a stale one would overrun the
// store.
func (p *Planner) isLocal(m *model, t *target) bool {
	return m.cached[t.spec.Name] && t.local > 0 && t.local < localRatio
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
	full := m.spec.LoadTime.Seconds()
	switch {
	case m.cached[t.spec.Name] && t.local > 0:
		full *= t.local
	case m.cached[t.spec.Name]:
		full *= hopedLocal
	default:
		full *= p.store.slowdown
	}
	return time.Duration(full * float64(time.Second))
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
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return a.deadline.Before(b.deadline)
	})
	return queue
}

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

// planLoads starts loads for waiting models and frees memory for those that have
// no room. It returns the decisions and the models that still wait.
func (p *Planner) planLoads(now time.Time) ([]Decision, []*model) {
	var out []Decision
	var left []*model
	queue := p.waitingModels(now)
	flying := p.inFlight()
	for i, m := range queue {
		if i >= triesPerRound {
			left = append(left, queue[i:]...)
			break
		}
		room := flying < p.store.slots && p.store.mayStart(now)
		t, ok := p.place(m, room, now)
		switch {
		case ok:
			d := p.propose(Decision{m.spec.Name, t.spec.Name, true, ReasonDemand}, now)
			if p.replicas[replicaKey{d.Model, d.Target}].fetched {
				flying++
			}
			out = append(out, d)
		default:
			out = append(out, p.makeRoom(m, now)...)
			left = append(left, m)
		}
	}
	return out, left
}

// place finds the target on which m is ready first and that has the room now.
// Without room at the store only a local load is possible.
func (p *Planner) place(m *model, store bool, now time.Time) (*target, bool) {
	var best *target
	var bestCost float64
	for _, name := range p.targetNames {
		t := p.targets[name]
		if !p.allowed(m, t, now) || (!store && !p.isLocal(m, t)) {
			continue
		}
		free := t.free()
		if m.evicting == t {
			free += m.spec.Bytes
		}
		if free < m.spec.Bytes {
			continue
		}
		cost := p.cost(m, t)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best != nil {
		p.dropPromise(m)
	}
	return best, best != nil
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

// cost is the price of placing m on t in seconds of waiting.
func (p *Planner) cost(m *model, t *target) float64 {
	cost := p.loadTime(m, t).Seconds() + busyCost*t.busyShare()
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

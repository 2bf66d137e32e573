package placement

import (
	"sort"
	"time"
)

// The order of loads. Pattern of load: more models wait than the store loads at full
// speed. The queue is in order of the earliest waiting deadline. A model whose
// deadline no load can meet any more goes behind those that can still be met, or
// each late load would make the next one late too; but it moves to the front after
// starvationLoads of its own load times, so that it is loaded in the end for those
// who come back.
const starvationLoads = 4

// waitingModels returns the models that need a load, most urgent first.
func (p *Planner) waitingModels(now time.Time) []*model {
	var queue []*model
	p.each(func(m *model) {
		if m.needsReplica() {
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
	byDeadline := func(m *model) time.Time { return p.due(m) }
	work := 0.0
	var first time.Time
	for _, m := range queue {
		if due := p.due(m); first.IsZero() || due.Before(first) {
			first = due
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
		return p.due(m).Add(-time.Duration(float64(m.spec.LoadTime) * p.store.slowdown))
	}
}

// fitShare is the part of the time before the first deadline that the loads of a
// queue may take to count as fitting: the rest is for the answers themselves.
const fitShare = 0.6

// due is the earliest deadline that waits for m. A busy model has replicas that keep
// its deadlines, for a part of its requests; it is due busyTurn after it has been
// found busy, so that cold starts without end do not take its turn for ever.
func (p *Planner) due(m *model) time.Time {
	if m.wantsMore {
		return m.busyFrom.Add(p.settings.SustainFor + busyTurn)
	}
	return m.deadline
}

// busyTurn is about the deadline of a person's request.
const busyTurn = 8 * time.Second

// urgency ranks a waiting model: 0 starved, 1 its deadline can be met, 2 it cannot.
func (p *Planner) urgency(m *model, now time.Time) int {
	if m.wantsMore {
		return 1
	}
	load := time.Duration(float64(m.spec.LoadTime) * p.store.slowdown)
	if now.Sub(m.waitingFrom) > starvationLoads*load {
		return 0
	}
	if m.deadline.Before(now.Add(load)) {
		return 2
	}
	return 1
}

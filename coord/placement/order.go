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

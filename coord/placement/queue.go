package placement

import (
	"sort"
	"time"
)

// Load pattern: more models wait than the store can load at full speed.
// Without it: each load that misses its deadline delays the next one past its deadline too.
// Rule: load in order of the earliest waiting deadline, but models whose deadline can no longer
// be met last. To prevent starvation, a model moves to the front once it has waited for
// starvationFactor times its load time; this helps callers that retry.
const starvationFactor = 4

// loadQueue returns the models that need a load, most urgent first.
func (p *Planner) loadQueue(now time.Time) []*model {
	var queue []*model
	p.forEachModel(func(m *model) {
		if m.needsReplica() {
			queue = append(queue, m)
		}
	})
	rank := make(map[*model]int, len(queue))
	for _, m := range queue {
		rank[m] = p.urgencyRank(m, now)
	}
	due := p.queueOrder(queue, now)
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return due(a).Before(due(b))
	})
	return queue
}

// queueOrder returns the sort key of the queue. The deadlines of a burst are nearly equal. If the
// whole queue can be loaded before the first deadline, the key is each load's latest start, so
// that long loads go first: started last, they would end last. Otherwise long loads would occupy
// the slots for the benefit of few models, and the key is the deadline alone.
func (p *Planner) queueOrder(queue []*model, now time.Time) func(*model) time.Time {
	byDeadline := func(m *model) time.Time { return p.effectiveDeadline(m) }
	work := 0.0
	var first time.Time
	for _, m := range queue {
		if due := p.effectiveDeadline(m); first.IsZero() || due.Before(first) {
			first = due
		}
		share := 1.0
		if len(m.spec.Cached) > 0 {
			share, _ = p.localRatio(nil)
		}
		work += m.spec.LoadTime.Seconds() * share * p.store.slowdown
	}
	if work > maxQueueShare*first.Sub(now).Seconds()*float64(p.store.slots) {
		return byDeadline
	}
	return func(m *model) time.Time {
		return p.effectiveDeadline(m).Add(-time.Duration(float64(m.spec.LoadTime) * p.store.slowdown))
	}
}

// maxQueueShare is the share of the time until the first deadline that the loads of the queue
// may take for queueOrder to order it by latest start. The rest is left for the requests
// themselves.
const maxQueueShare = 0.6

// effectiveDeadline returns the earliest deadline of the requests that wait for m. A model that
// must scale up has replicas that meet the deadlines of part of its requests; its deadline is
// scaleUpDeadline after it qualified for scale-up, so that a continuous sequence of cold starts
// cannot starve it.
func (p *Planner) effectiveDeadline(m *model) time.Time {
	if m.wantsScaleUp {
		return m.busySince.Add(p.settings.ScaleUpDelay + scaleUpDeadline)
	}
	return m.deadline
}

// scaleUpDeadline is about the deadline of an interactive request.
const scaleUpDeadline = 8 * time.Second

// urgencyRank returns the priority of a waiting model: 0 if it is starved, 1 if its deadline can
// be met or it must scale up, 2 if its deadline cannot be met.
func (p *Planner) urgencyRank(m *model, now time.Time) int {
	if m.wantsScaleUp {
		return 1
	}
	load := time.Duration(float64(m.spec.LoadTime) * p.store.slowdown)
	if now.Sub(m.waitingSince) > starvationFactor*load {
		return 0
	}
	if m.deadline.Before(now.Add(load)) {
		return 2
	}
	return 1
}

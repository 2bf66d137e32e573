package residency

import "time"

// Load pattern: the plan wants ten more copies of a model, and 49 agents ask for a permit.
// Without it: copies at most double at a time, and each round takes a load's time; or too many are added, because a
// copy whose load has just ended is neither a permit any more nor counted as a copy yet.
// Rule: up to as many copies are added at once as the plan lacks, counting those whose load has ended lately.

// copyReportDelay is how long after the end of its load a copy may be missing from the leader's table. An agent
// reports every 250 ms.
const copyReportDelay = 500 * time.Millisecond

// addedCopy is a planned copy whose load has ended.
type addedCopy struct {
	model string
	at    time.Time
}

// maxGrowth returns how many copies of the model may be added at once: those that the plan lacks. Beyond a plan,
// or without one, the copies at most double at a time: how much more copies relieve the load is seen only when they
// serve.
func (l LoadRequest) maxGrowth() int {
	if missing := l.Wanted - l.Copies; missing > 0 {
		return missing
	}
	return max(1, l.Copies)
}

// copiesUnderWay returns the number of targets that make room for copies or load them.
func (g *LoadLimiter) copiesUnderWay() int {
	n := 0
	for _, p := range g.permits { // any order: only a count
		if p.load.AddsCopy {
			n++
		}
	}
	return n
}

// noteAdded records that the load of a planned copy has ended.
func (g *LoadLimiter) noteAdded(l LoadRequest, now time.Time) {
	if l.AddsCopy && l.Wanted > 0 {
		g.added = append(g.added, addedCopy{l.Model, now})
	}
}

// addedLately returns how many copies of a model the leader's table may lack.
func (g *LoadLimiter) addedLately(model string) int {
	n := 0
	for _, a := range g.added {
		if a.model == model {
			n++
		}
	}
	return n
}

func (g *LoadLimiter) expireAdded(now time.Time) {
	for len(g.added) > 0 && now.Sub(g.added[0].at) > copyReportDelay {
		g.added = g.added[1:]
	}
}

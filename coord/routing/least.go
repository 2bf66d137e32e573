package routing

import "time"

// PickShortest returns the target for which wait is shortest of all that Pick may choose; of those with equal
// waits the one that PickLeastLoaded prefers. Like that it is meant for the few requests that would be refused.
func (r *Router) PickShortest(q Request, now time.Time, wait func(target string) time.Duration) (string, bool) {
	set := r.sets[q.Name]
	if set == nil {
		return "", false
	}
	c := choice{request: q, now: now, inTime: r.someLate(set, q, now)}
	best := r.shortest(set, c, wait)
	if best == nil && c.inTime {
		c.inTime = false
		best = r.shortest(set, c, wait)
	}
	if best == nil {
		return "", false
	}
	return best.name, true
}

func (r *Router) shortest(set *targetSet, c choice, wait func(target string) time.Duration) (best *target) {
	var bestWait time.Duration
	for _, t := range set.all {
		if !r.usable(t, c) {
			continue
		}
		w := wait(t.name)
		if best == nil || w < bestWait || w == bestWait && r.cost(t, c.request, c.now) < r.cost(best, c.request, c.now) {
			best, bestWait = t, w
		}
	}
	return best
}

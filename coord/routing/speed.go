package routing

import "time"

// Load pattern: targets announce speeds that differ by a factor of 2.4, and bursts of less than a
// second in which one takes 2.5 times as long as usual.
// Without it: a target counts as slow only after it has served several slow requests of this host,
// sessions stay at slow targets, and long responses there miss their deadlines.
// Rule: the announced lasting speed scales a target's estimated wait. A burst only decides between two
// random candidates: hosts that all avoided the same target would all return to it at the same time.

// SetSpeeds sets the lasting speed factors that targets have announced, by target; one without a factor
// is compared by its measured slowdown. The factors of all targets of a name must be announced, or none.
func (r *Router) SetSpeeds(factors map[string]float64) {
	for name, t := range r.targets { // any order: targets are independent
		t.speed = factors[name]
	}
}

// SetBurst sets until when a target counts as being in a burst; zero: it is in none.
func (r *Router) SetBurst(name string, until time.Time) {
	if t := r.targets[name]; t != nil {
		t.burstUntil = until
	}
}

func (t *target) inBurst(now time.Time) bool { return now.Before(t.burstUntil) }

// late reports whether a request is expected to end after its deadline at a target whose speed is
// announced.
func (t *target) late(q Request, now time.Time) bool {
	if t.speed == 0 || q.RunTime <= 0 {
		return false
	}
	return q.RunTime.Seconds()*t.speed > q.Deadline.Sub(now).Seconds()
}

// someLate reports whether a request is expected to end too late at some target of the set that takes
// requests, and in time at another one.
func (r *Router) someLate(set *targetSet, q Request, now time.Time) bool {
	if q.RunTime <= 0 {
		return false
	}
	late, inTime := false, false
	for _, t := range set.all {
		if t.late(q, now) {
			late = true
		} else {
			inTime = inTime || r.AcceptsRequests(t.name, now)
		}
	}
	return late && inTime
}

// pickInTime is pickOfTwo among the targets on which the request is expected to end before its
// deadline, and among all if there is none.
func (r *Router) pickInTime(set *targetSet, c choice) *target {
	if !c.inTime {
		return r.pickOfTwo(set, c)
	}
	if t := r.pickOfTwo(set, c); t != nil {
		return t
	}
	c.inTime = false
	return r.pickOfTwo(set, c)
}

// fastEnough reports whether a target may be chosen for what it has cached: it is not much slower than
// the fastest target of the set that takes requests.
func (r *Router) fastEnough(set *targetSet, t *target) bool {
	if t.speed == 0 {
		return t.slowdownFactor(r.settings.SlowRatio) == 1
	}
	for _, other := range set.all {
		if other.speed > 0 && !other.view.Leaving && t.speed > r.settings.AffinitySlowRatio*other.speed {
			return false
		}
	}
	return true
}

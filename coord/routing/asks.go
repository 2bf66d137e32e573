package routing

import "time"

// Load pattern: targets in need turn requests away and ask each host for some time without any;
// targets that leave say so in their answers before the view shows it.
// Without it: each new request of the host is turned away there once more, and adds to the load,
// or runs at a target that ends soon.
// Rule: no request goes to a target before its rest has ended, or once it has said that it leaves.

// leavingMemory is how long it is remembered of a target that is missing from the view that it
// leaves. A view that is incomplete after a change of leader lacks targets for a second.
const leavingMemory = time.Minute

// asks is what a target has asked of this host, in one lifetime of the target.
type asks struct {
	startedUnixMs int64 // start of the target; 0: not known
	restUntil     time.Time
	leavingAt     time.Time // when it last said that it leaves; zero: it didn't
}

// sameLifetime reports whether two starts of a target may be the same one.
func sameLifetime(a, b int64) bool { return a == 0 || b == 0 || a == b }

// Rested records that a target asked for a rest, and reports whether it had asked for none that
// lasts until now. A rest that ends earlier than the last one does not shorten it.
func (r *Router) Rested(name string, startedUnixMs int64, rest time.Duration, now time.Time) (began bool) {
	a := r.asksOf(name, startedUnixMs)
	began = !now.Before(a.restUntil)
	if until := now.Add(rest); until.After(a.restUntil) {
		a.restUntil = until
	}
	return began
}

// asksOf returns what a target has asked for in the lifetime that began at startedUnixMs, and
// creates it if needed.
func (r *Router) asksOf(name string, startedUnixMs int64) *asks {
	a := r.asks[name]
	if a == nil || !sameLifetime(a.startedUnixMs, startedUnixMs) {
		a = &asks{startedUnixMs: startedUnixMs}
		r.asks[name] = a
	}
	return a
}

// SaidLeaving records that a target said that it leaves, and reports whether that is new. It holds
// for the target's lifetime: answers that say nothing may have been sent before.
func (r *Router) SaidLeaving(name string, startedUnixMs int64, now time.Time) (first bool) {
	a := r.asksOf(name, startedUnixMs)
	first = a.leavingAt.IsZero()
	a.leavingAt = now
	return first
}

// Leaving reports whether a target gets no requests because it leaves.
func (r *Router) Leaving(name string, now time.Time) bool {
	if a := r.currentAsks(name); a != nil && !a.leavingAt.IsZero() {
		return true
	}
	t := r.targets[name]
	return t != nil && t.leaving(now)
}

// currentAsks returns what a target has asked for in its present lifetime; nil: nothing.
func (r *Router) currentAsks(name string) *asks {
	a, t := r.asks[name], r.targets[name]
	if a == nil || t != nil && !sameLifetime(a.startedUnixMs, t.view.StartedUnixMs) {
		return nil
	}
	return a
}

// Resting returns for how long a target wants no requests; 0 if it takes them.
func (r *Router) Resting(name string, now time.Time) time.Duration {
	a := r.currentAsks(name)
	if a == nil {
		return 0
	}
	return max(0, a.restUntil.Sub(now))
}

// AcceptsRequests reports whether a target is neither leaving nor resting.
func (r *Router) AcceptsRequests(name string, now time.Time) bool {
	return !r.Leaving(name, now) && r.Resting(name, now) == 0
}

// RestEnds returns the time until the first target for a request takes requests again. It is 0
// if one takes them now, or none will: Exclude does not count, as it holds for one call.
func (r *Router) RestEnds(q Request, now time.Time) time.Duration {
	set := r.sets[q.Name]
	if set == nil {
		return 0
	}
	first := time.Duration(0)
	for _, t := range set.all {
		if r.Leaving(t.name, now) || !q.allows(t.view.FailureDomain) {
			continue
		}
		rest := r.Resting(t.name, now)
		if rest == 0 {
			return 0
		}
		if first == 0 || rest < first {
			first = rest
		}
	}
	return first
}

// pruneAsks drops what targets that are not in the view have asked for, once it has passed. A
// target may be missing from the view for a moment.
func (r *Router) pruneAsks(now time.Time) {
	for name, a := range r.asks {
		if r.targets[name] == nil && !now.Before(a.restUntil) && now.Sub(a.leavingAt) > leavingMemory {
			delete(r.asks, name)
		}
	}
}

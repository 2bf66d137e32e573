package routing

import "time"

// Corrections. Pattern of load: the view lags by up to seconds; a model that
// moved gets a burst of requests at its old place. Without a correction each of
// them pays a refusal, until control's view arrives. The agent that refuses
// knows the truth about its target, so its refusal carries it: the idea is taken
// from the related paper on distributed directories, whose servers correct a
// client's stale map in the refusal itself. A wrong correction is harmless: the
// agent refuses again, or the view replaces it.

// correction says that a target does or does not hold a name, against the view.
type correction struct {
	here  bool
	order uint64 // the order that the view showed then
	until time.Time
}

// corrections are kept by name, then by target.
type corrections map[string]map[string]correction

func (c corrections) set(name, target string, fix correction) {
	if c[name] == nil {
		c[name] = map[string]correction{}
	}
	c[name][target] = fix
}

func (c corrections) expire(now time.Time) {
	for name, byTarget := range c {
		for target, fix := range byTarget {
			if !now.Before(fix.until) {
				delete(byTarget, target)
			}
		}
		if len(byTarget) == 0 {
			delete(c, name)
		}
	}
}

// apply returns the targets of one name: those of the view that no correction
// denies, and those that a correction adds. The order is not defined.
func (c corrections) apply(name string, viewed []Replica, now time.Time) []string {
	fixes := c[name]
	out := make([]string, 0, len(viewed)+len(fixes))
	shown := make(map[string]bool, len(viewed))
	for _, v := range viewed {
		shown[v.Target] = true
		fix, ok := fixes[v.Target]
		if ok && !fix.here && v.Order <= fix.order && now.Before(fix.until) {
			continue
		}
		out = append(out, v.Target)
	}
	for target, fix := range fixes {
		if fix.here && !shown[target] && now.Before(fix.until) {
			out = append(out, target)
		}
	}
	return out
}

// correct takes a refusal "not here" with the target's residency.
func (r *Router) correct(t *target, name string, resident []string, now time.Time) {
	until := now.Add(r.settings.CorrectionTTL)
	r.fixes.set(name, t.name, correction{order: r.order(name, t.name), until: until})
	r.regroup(name, now)
	for _, held := range resident {
		if held == name || r.order(held, t.name) != 0 {
			continue
		}
		r.fixes.set(held, t.name, correction{here: true, until: until})
		r.regroup(held, now)
	}
}

// order is the order that the view shows for a name on a target, 0 for none.
func (r *Router) order(name, target string) uint64 {
	for _, v := range r.viewed[name] {
		if v.Target == target {
			return v.Order
		}
	}
	return 0
}

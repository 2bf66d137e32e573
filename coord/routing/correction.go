package routing

import "time"

// Load pattern: requests for a moved model go to its old target while the view is stale.
// Without it: each of them is refused once, for up to seconds, until the new view arrives.
// Rule: take the target's residency from the refusal, since the agent has the current
// state; related work on distributed directories corrects a client's stale map like this.
// A wrong correction does no harm: the agent refuses again, or the next view replaces it.

// correction overrides the view on whether a target holds a name.
type correction struct {
	held  bool
	order uint64 // the order in the view when the correction was made
	until time.Time
}

// corrections maps names to targets to corrections.
type corrections map[string]map[string]correction

func (c corrections) set(name, target string, fix correction) {
	if c[name] == nil {
		c[name] = map[string]correction{}
	}
	c[name][target] = fix
}

// expire deletes the corrections whose time is over.
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

// apply returns the targets of one name: those of the confirmed replicas that no
// correction removes, and those that a correction adds. The order is unspecified.
func (c corrections) apply(name string, confirmed []Replica, now time.Time) []string {
	fixes := c[name]
	out := make([]string, 0, len(confirmed)+len(fixes))
	inView := make(map[string]bool, len(confirmed))
	for _, v := range confirmed {
		inView[v.Target] = true
		fix, ok := fixes[v.Target]
		if ok && !fix.held && v.Version <= fix.order && now.Before(fix.until) {
			continue
		}
		out = append(out, v.Target)
	}
	for target, fix := range fixes {
		if fix.held && !inView[target] && now.Before(fix.until) {
			out = append(out, target)
		}
	}
	return out
}

// applyNotHere corrects the view after a refusal of the kind fault.NotHere: the target
// does not hold name and holds the names in resident.
func (r *Router) applyNotHere(t *target, name string, resident []string, now time.Time) {
	until := now.Add(r.settings.CorrectionTTL)
	r.corrections.set(name, t.name, correction{order: r.confirmedOrder(name, t.name), until: until})
	r.rebuildSet(name, now)
	for _, other := range resident {
		if other == name || r.confirmedOrder(other, t.name) != 0 {
			continue
		}
		r.corrections.set(other, t.name, correction{held: true, until: until})
		r.rebuildSet(other, now)
	}
}

// confirmedOrder returns the order of a name on a target in the view, or 0 if there is
// none.
func (r *Router) confirmedOrder(name, target string) uint64 {
	for _, v := range r.confirmed[name] {
		if v.Target == target {
			return v.Version
		}
	}
	return 0
}

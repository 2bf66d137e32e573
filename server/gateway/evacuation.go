package gateway

import (
	"maps"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/server/view"
)

// followEvacuations makes the router follow the evacuations of a view.
func (g *Gateway) followEvacuations(s *view.Snapshot) {
	evacuated := map[string]bool{}
	for domain := range s.Evacuations {
		if s.Evacuated(domain) {
			evacuated[domain] = true
		}
	}
	warmUp := func(service string) warmup.Limit {
		if s.Routes == nil || s.Routes.Service(service) == nil {
			return warmup.Limit{}
		}
		return s.Routes.Service(service).WarmUp()
	}
	for domain, out := range g.targets.setEvacuated(evacuated, warmUp) {
		g.config.Events.EvacuationFollowed(domain, out, s.Revision)
	}
}

// setEvacuated sets the failure domains whose targets get no calls, and returns those that
// changed. Targets of a domain that returns warm up.
func (t *targets) setEvacuated(evacuated map[string]bool, warmUp func(service string) warmup.Limit) (changed map[string]bool) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if maps.Equal(t.evacuated, evacuated) {
		return nil
	}
	changed = map[string]bool{}
	for domain := range evacuated {
		if !t.evacuated[domain] {
			changed[domain] = true
		}
	}
	for domain := range t.evacuated {
		if !evacuated[domain] {
			changed[domain] = false
		}
	}
	for id, s := range t.table.All() {
		out, changes := changed[s.FailureDomain]
		if limit := warmUp(s.Service); changes && !out && limit.Applies() {
			t.warmUps[id] = now.Add(limit.Duration)
		}
	}
	t.evacuated = evacuated
	t.updateRouter(now)
	return changed
}

// checkView returns an error if a call must not be sent to a target now: its failure domain is
// evacuated, or this host's view is so old that it may be. It is called after all waits of a
// call, for which the lease may have lapsed for up to Config.SendGrace. The lease is checked
// before the view is read: see view.Follower.
func (g *Gateway) checkView(p destination) error {
	if !g.maySend() {
		return errLeaseLapsed
	}
	if s := g.config.Source.Current(); s != nil && s.Evacuated(p.FailureDomain) {
		return fault.NewRetryAfter(fault.NoCapacity, overloadRetryAfter, "failure domain %s of target %s is evacuated", p.FailureDomain, p.Instance)
	}
	return nil
}

// maySend reports whether the lease allows this host to send a call that it has admitted.
func (g *Gateway) maySend() bool {
	return g.config.Source.Fresh(g.config.Now().Add(-g.config.SendGrace))
}

var errLeaseLapsed = fault.New(fault.Stale, "this host's freshness lease from control has lapsed")

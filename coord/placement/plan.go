package placement

import "time"

// Plan runs one planning round and returns the decisions to propose, in order. Call it about four
// times a second and after each change of demand or replicas. More rounds don't speed up loading,
// as the store's limits bound the loads that a round starts.
func (p *Planner) Plan(now time.Time) []Decision {
	if !p.configured {
		return nil
	}
	p.revertExpiredProposals(now)
	p.sumDemand(now)
	p.forEachModel(func(m *model) { p.updateScaling(m, now) })
	p.releaseStaleReservations(now)
	p.updateLargestFit(now)
	p.updateMemoryPrice()
	out := p.planRemovals(now)
	loads, pending := p.planLoads(now)
	out = append(out, loads...)
	if len(pending) == 0 {
		out = append(out, p.planPreload(now)...)
	}
	out = append(out, p.planIdleUnloads(now)...)
	p.updateForecasts(pending, now)
	return out
}

// sumDemand aggregates the latest demand reports of all entry hosts and drops reports older than
// DemandTTL.
func (p *Planner) sumDemand(now time.Time) {
	p.forEachModel(func(m *model) {
		m.waiting, m.interactive = 0, false
		m.deadline = time.Time{}
		for host, d := range m.demandByHost {
			if now.Sub(d.reportedAt) > p.settings.DemandTTL {
				delete(m.demandByHost, host)
				continue
			}
			if d.Waiting <= 0 {
				continue
			}
			m.waiting += d.Waiting
			m.interactive = m.interactive || d.Interactive
			if m.deadline.IsZero() || d.EarliestDeadline.Before(m.deadline) {
				m.deadline = d.EarliestDeadline
			}
		}
		switch {
		case m.waiting == 0:
			m.waitingSince = time.Time{}
		case m.waitingSince.IsZero():
			m.waitingSince = now
		}
	})
}

// planRemovals unloads replicas that are no longer configured, loads on targets that are
// leaving, and loads that timed out. Their memory stays counted until the agent confirms that it
// is free. A replica on a silent target also stays counted; its model is planned elsewhere,
// because that replica does not serve.
func (p *Planner) planRemovals(now time.Time) []Decision {
	var out []Decision
	for _, name := range p.targetNames {
		t := p.targets[name]
		for _, r := range t.replicas {
			reason, broken := p.removalReason(r, now)
			if broken {
				out = append(out, p.propose(Decision{r.model.spec.Name, name, false, reason}, now))
			}
		}
	}
	return out
}

// removalReason returns why r must be unloaded, and whether it must be.
func (p *Planner) removalReason(r *replica, now time.Time) (Reason, bool) {
	// A proposal that the replicated state does not show may never be committed;
	// unloading it would be a decision on a replica that does not exist.
	if r.state == stateUnload || !r.proposedAt.IsZero() {
		return "", false
	}
	if !r.model.configured || !r.target.configured {
		return ReasonNotConfigured, true
	}
	if r.state != stateLoad {
		return "", false
	}
	if r.target.leaving {
		return ReasonLeaving, true
	}
	limit := time.Duration(p.settings.LoadTimeoutFactor*float64(r.model.spec.LoadTime)*p.store.slowdown) + p.settings.LoadTimeoutMargin
	if now.Sub(r.trackedSince) > limit {
		return ReasonLoadTimeout, true
	}
	return "", false
}

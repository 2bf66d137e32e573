package placement

import "time"

// Plan runs one round and returns the decisions to propose, in order. Run it
// about four times a second and after each change of demand or replicas: a round
// starts at most as many loads as the store takes, so more rounds shift nothing
// faster.
func (p *Planner) Plan(now time.Time) []Decision {
	if !p.ready {
		return nil
	}
	p.dropLapsed(now)
	p.sumDemand(now)
	p.each(func(m *model) { p.noteBusy(m, now) })
	p.dropPromises(now)
	p.measureReach(now)
	p.measureScarcity()
	out := p.planBroken(now)
	loads, left := p.planLoads(now)
	out = append(out, loads...)
	if len(left) == 0 {
		out = append(out, p.planAhead(now)...)
	}
	out = append(out, p.planIdle(now)...)
	p.forecast(left, now)
	return out
}

// sumDemand adds up what the entry hosts last said and forgets hosts that went silent.
func (p *Planner) sumDemand(now time.Time) {
	p.each(func(m *model) {
		m.waiting, m.interactive = 0, false
		m.deadline = time.Time{}
		for host, d := range m.hosts {
			if now.Sub(d.at) > p.settings.DemandTTL {
				delete(m.hosts, host)
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
			m.waitingFrom = time.Time{}
		case m.waitingFrom.IsZero():
			m.waitingFrom = now
		}
	})
}

// planBroken takes back what cannot serve: replicas the configuration no longer
// names, loads on a target that leaves, and loads that take too long. The memory
// counts until the agent proves it free; a replica on a silent target stays
// counted, and the model is planned elsewhere because it does not serve.
func (p *Planner) planBroken(now time.Time) []Decision {
	var out []Decision
	for _, name := range p.targetNames {
		t := p.targets[name]
		for _, r := range t.replicas {
			reason, broken := p.broken(r, now)
			if broken {
				out = append(out, p.propose(Decision{r.model.spec.Name, name, false, reason}, now))
			}
		}
	}
	return out
}

func (p *Planner) broken(r *replica, now time.Time) (Reason, bool) {
	// An order that the log does not show yet may never be one: taking it back
	// would decide about a replica that nobody knows.
	if r.state == stateUnload || !r.proposed.IsZero() {
		return "", false
	}
	if !r.model.known || !r.target.known {
		return ReasonWithdraw, true
	}
	if r.state != stateLoad {
		return "", false
	}
	if r.target.leaving {
		return ReasonLeaving, true
	}
	limit := time.Duration(p.settings.StuckFactor*float64(r.model.spec.LoadTime)*p.store.slowdown) + p.settings.StuckMargin
	if now.Sub(r.since) > limit {
		return ReasonStuck, true
	}
	return "", false
}

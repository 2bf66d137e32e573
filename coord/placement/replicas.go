package placement

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// SetReplicas takes all replica decisions of the replicated state. A replica
// counts, with its memory, until the state no longer lists it: a target that has
// gone silent may hold it still.
func (p *Planner) SetReplicas(list []*coordpb.Replica, now time.Time) {
	listed := make(map[replicaKey]bool, len(list))
	for _, l := range list {
		key := replicaKey{l.GetModel(), l.GetTarget()}
		listed[key] = true
		p.take(key, l, now)
	}
	for key, r := range p.replicas {
		if listed[key] || p.awaited(r, now) {
			continue
		}
		p.gone(key, r, now)
	}
	p.count()
}

// take brings one listed replica up to date.
func (p *Planner) take(key replicaKey, l *coordpb.Replica, now time.Time) {
	r := p.replicas[key]
	if r == nil {
		r = &replica{model: p.modelFor(key.model), target: p.targetFor(key.target), since: now, lastUsed: now}
		p.replicas[key] = r
	}
	if p.awaited(r, now) && r.state != l.GetState() && l.GetFencing() <= r.fencing {
		return // the state does not show the proposal yet
	}
	if r.state == stateLoad && l.GetState() == stateReady {
		p.loaded(key, r, now)
	}
	if l.GetState() == stateReady && r.ready.IsZero() {
		r.ready, r.lastUsed = now, now
	}
	r.state, r.fencing = l.GetState(), l.GetFencing()
	r.proposed = time.Time{}
}

// awaited reports whether r is a proposal that the log may still commit.
func (p *Planner) awaited(r *replica, now time.Time) bool {
	return !r.proposed.IsZero() && now.Sub(r.proposed) < p.settings.ProposalTimeout
}

// loaded learns from a load that ended well.
func (p *Planner) loaded(key replicaKey, r *replica, now time.Time) {
	delete(p.failures, key)
	if !r.seen || r.model.spec.LoadTime <= 0 {
		return
	}
	took := now.Sub(r.since)
	if !r.model.cached[key.target] {
		p.store.measured(took, r.model.spec.LoadTime)
		return
	}
	ratio := took.Seconds() / r.model.spec.LoadTime.Seconds()
	p.store.measuredLocal(ratio)
	if r.target.local == 0 {
		r.target.local = ratio
		return
	}
	r.target.local += slowdownWeight * (ratio - r.target.local)
}

// gone drops a replica that the state proved gone. One that was loading and was
// not asked to unload has failed: its target is not tried again at once.
func (p *Planner) gone(key replicaKey, r *replica, now time.Time) {
	delete(p.replicas, key)
	if r.state != stateLoad {
		return
	}
	f := p.failures[key]
	f.wait = min(max(2*f.wait, p.settings.FailureBackoff), p.settings.MaxFailureBackoff)
	f.until = now.Add(f.wait)
	p.failures[key] = f
}

// dropLapsed takes back proposals that the log did not show in time.
func (p *Planner) dropLapsed(now time.Time) {
	changed := false
	for key, r := range p.replicas {
		if r.proposed.IsZero() || p.awaited(r, now) {
			continue
		}
		changed = true
		r.proposed = time.Time{}
		if r.before == 0 {
			delete(p.replicas, key)
			continue
		}
		r.state = r.before
	}
	if changed {
		p.count()
	}
}

// propose applies a decision to the tables until the log shows it.
func (p *Planner) propose(d Decision, now time.Time) Decision {
	key := replicaKey{d.Model, d.Target}
	if !d.Load {
		r := p.replicas[key]
		r.before, r.state, r.proposed = r.state, stateUnload, now
		return d
	}
	m, t := p.models[d.Model], p.targets[d.Target]
	r := &replica{model: m, target: t, state: stateLoad, bytes: m.spec.Bytes, since: now, lastUsed: now, seen: true, proposed: now}
	r.fetched = !p.isLocal(m, t)
	if r.fetched {
		p.store.start(now)
	}
	p.replicas[key] = r
	m.replicas = append(m.replicas, r)
	t.replicas = append(t.replicas, r)
	t.used += r.bytes
	return d
}

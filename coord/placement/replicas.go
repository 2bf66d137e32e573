package placement

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// SetReplicas updates the planner from all replicas of the replicated state. A replica and its
// memory are counted until the state no longer lists it, as a silent target may still hold it.
func (p *Planner) SetReplicas(list []*coordpb.Replica, now time.Time) {
	listed := make(map[replicaKey]bool, len(list))
	for _, l := range list {
		key := replicaKey{l.GetModel(), l.GetTarget()}
		listed[key] = true
		p.updateReplica(key, l, now)
	}
	for key, r := range p.replicas {
		if listed[key] || p.awaitingCommit(r, now) {
			continue
		}
		p.removeReplica(key, r, now)
	}
	p.rebuildReplicaLists()
}

// updateReplica applies one replica of the replicated state.
func (p *Planner) updateReplica(key replicaKey, l *coordpb.Replica, now time.Time) {
	r := p.replicas[key]
	if r == nil {
		r = &replica{model: p.modelFor(key.model), target: p.targetFor(key.target), trackedSince: now, lastUsed: now}
		p.replicas[key] = r
	}
	if p.awaitingCommit(r, now) && r.state != l.GetState() && l.GetFencing() <= r.fencing {
		return // the state does not show the proposal yet
	}
	if r.state == stateLoad && l.GetState() == stateReady {
		p.recordLoad(key, r, now)
	}
	if l.GetState() == stateReady && r.readyAt.IsZero() {
		r.readyAt, r.lastUsed = now, now
	}
	r.state, r.fencing = l.GetState(), l.GetFencing()
	r.proposedAt = time.Time{}
}

// awaitingCommit reports whether r is a proposal that the log may still commit.
func (p *Planner) awaitingCommit(r *replica, now time.Time) bool {
	return !r.proposedAt.IsZero() && now.Sub(r.proposedAt) < p.settings.ProposalTimeout
}

// recordLoad records a successful load: it clears the target's backoff for the model and updates
// the measured load-time ratios.
func (p *Planner) recordLoad(key replicaKey, r *replica, now time.Time) {
	delete(p.failures, key)
	if !r.loadObserved || r.model.spec.LoadTime <= 0 {
		return
	}
	took := now.Sub(r.trackedSince)
	if !r.model.cached[key.target] {
		p.store.recordStoreLoad(took, r.model.spec.LoadTime)
		return
	}
	ratio := took.Seconds() / r.model.spec.LoadTime.Seconds()
	p.store.recordLocalLoad(ratio)
	if r.target.localRatio == 0 {
		r.target.localRatio = ratio
		return
	}
	r.target.localRatio += loadRatioWeight * (ratio - r.target.localRatio)
}

// removeReplica removes a replica that the replicated state no longer lists. If it was loading and
// no unload was decided, its load failed, and the target is not tried again before a backoff.
func (p *Planner) removeReplica(key replicaKey, r *replica, now time.Time) {
	delete(p.replicas, key)
	if r.state != stateLoad {
		return
	}
	f := p.failures[key]
	f.backoff = min(max(2*f.backoff, p.settings.FailureBackoff), p.settings.MaxFailureBackoff)
	f.retryAt = now.Add(f.backoff)
	p.failures[key] = f
}

// revertExpiredProposals reverts proposals that the replicated state did not show within
// ProposalTimeout.
func (p *Planner) revertExpiredProposals(now time.Time) {
	changed := false
	for key, r := range p.replicas {
		if r.proposedAt.IsZero() || p.awaitingCommit(r, now) {
			continue
		}
		changed = true
		r.proposedAt = time.Time{}
		if r.previousState == 0 {
			delete(p.replicas, key)
			continue
		}
		r.state = r.previousState
	}
	if changed {
		p.rebuildReplicaLists()
	}
}

// propose applies a decision to the planner's state as a proposal and returns it.
func (p *Planner) propose(d Decision, now time.Time) Decision {
	key := replicaKey{d.Model, d.Target}
	if !d.Load {
		r := p.replicas[key]
		r.previousState, r.state, r.proposedAt = r.state, stateUnload, now
		return d
	}
	m, t := p.models[d.Model], p.targets[d.Target]
	r := &replica{model: m, target: t, state: stateLoad, bytes: m.spec.Bytes, trackedSince: now, lastUsed: now, loadObserved: true, proposedAt: now}
	r.fromStore = !p.isLocal(m, t)
	if r.fromStore {
		p.store.recordStart(now)
	}
	p.replicas[key] = r
	m.replicas = append(m.replicas, r)
	t.replicas = append(t.replicas, r)
	t.usedBytes += r.bytes
	return d
}

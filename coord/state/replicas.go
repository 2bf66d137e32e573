package state

import (
	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// replicas is the aggregate of replica decisions: which target holds which model.
//
// Each order carries a fencing number from a counter in the log. The counter only
// grows and is part of the snapshot, so that no leader, restart or restored member
// gives a number twice; an agent that obeyed number n refuses every lower one.
//
// A replica counts against its target's memory from the decision to load it until
// its agent confirms that it is gone. Counting less would let a second load start
// while the first still holds memory: a silent agent, a lost confirmation or a
// slow unload all look alike from here.
type replicas struct {
	rows        map[string]*coordpb.Replica
	nextFencing uint64
}

func newReplicas() replicas {
	return replicas{rows: map[string]*coordpb.Replica{}, nextFencing: 1}
}

// ReplicaID names the replica of a model on a target, in tombstones and tables.
func ReplicaID(model, target string) string {
	return model + "@" + target
}

// decide applies all decisions or, at the first that cannot stand, none.
func (r *replicas) decide(m *coordpb.DecideReplicas, c *config.Configuration, h *hosts, at step) (out []*coordpb.Replica, changed bool, err error) {
	if c == nil {
		return nil, false, fault.New(fault.Conflict, "no configuration is in force")
	}
	planned := map[string]*coordpb.Replica{}
	next := r.nextFencing
	for _, d := range m.Decisions {
		id := ReplicaID(d.Model, d.Target)
		if _, twice := planned[id]; twice {
			return nil, false, fault.New(fault.InvalidRequest, "replica %s is decided twice", id)
		}
		row, err := r.decided(d, r.rows[id], c, h)
		if err != nil {
			return nil, false, err
		}
		planned[id] = row
		if row == r.rows[id] {
			continue
		}
		row.Fencing = next
		row.DecidedUnixMs = at.now
		row.Revision = at.revision
		next++
		changed = true
	}
	if err := r.fits(planned, c); err != nil {
		return nil, false, err
	}
	for _, d := range m.Decisions {
		id := ReplicaID(d.Model, d.Target)
		r.rows[id] = planned[id]
		out = append(out, planned[id])
	}
	r.nextFencing = next
	return out, changed, nil
}

// decided returns the row that a decision makes: the standing one where it
// already says so.
func (r *replicas) decided(d *coordpb.ReplicaDecision, old *coordpb.Replica, c *config.Configuration, h *hosts) (*coordpb.Replica, error) {
	if !d.Load {
		return unloaded(d, old)
	}
	model, ok := c.Models[d.Model]
	if !ok {
		return nil, fault.New(fault.NotFound, "no model is named %q", d.Model)
	}
	target, ok := c.Targets[d.Target]
	if !ok || target.Kind != config.KindEngine {
		return nil, fault.New(fault.NotFound, "no engine is named %q", d.Target)
	}
	if old != nil && old.State != coordpb.ReplicaState_REPLICA_STATE_UNLOAD {
		return old, nil
	}
	if h.leaving(d.Target) {
		return nil, fault.New(fault.Leaving, "the host of target %q leaves", d.Target)
	}
	row := &coordpb.Replica{Model: d.Model, Target: d.Target, Bytes: model.Bytes, Version: model.Version,
		State: coordpb.ReplicaState_REPLICA_STATE_LOAD}
	if old != nil {
		row.Bytes = max(row.Bytes, old.Bytes)
	}
	return row, nil
}

func unloaded(d *coordpb.ReplicaDecision, old *coordpb.Replica) (*coordpb.Replica, error) {
	if old == nil {
		return nil, fault.New(fault.NotFound, "target %q holds no replica of %q", d.Target, d.Model)
	}
	if old.State == coordpb.ReplicaState_REPLICA_STATE_UNLOAD {
		return old, nil
	}
	row := edit(old)
	row.State = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
	return row, nil
}

// fits refuses decisions that exceed a target's memory for weights. Only targets
// that get a new load are checked: a smaller target in a new configuration must
// not stop unloads there.
func (r *replicas) fits(planned map[string]*coordpb.Replica, c *config.Configuration) error {
	loads := map[string]bool{}
	for id, row := range planned {
		if row != r.rows[id] && row.State == coordpb.ReplicaState_REPLICA_STATE_LOAD {
			loads[row.Target] = true
		}
	}
	for _, target := range sorted(loads) {
		used := r.weights(target, planned)
		if limit := c.Targets[target].WeightBytes(); used > limit {
			return fault.New(fault.NoCapacity, "target %q would hold %d bytes of weights, %d are allowed", target, used, limit)
		}
	}
	return nil
}

// weights sums the bytes that count on a target with the planned rows in place.
func (r *replicas) weights(target string, planned map[string]*coordpb.Replica) int64 {
	sum := int64(0)
	for id, row := range r.rows {
		if _, replaced := planned[id]; row.Target == target && !replaced {
			sum += row.Bytes
		}
	}
	for _, row := range planned {
		if row.Target == target {
			sum += row.Bytes
		}
	}
	return sum
}

// confirm notes what an agent carried out. A confirmation under another number
// than the newest is late: the agent has a newer order to answer for.
func (r *replicas) confirm(m *coordpb.ConfirmReplica, at step) (row *coordpb.Replica, changed, gone bool, err error) {
	id := ReplicaID(m.Model, m.Target)
	row, ok := r.rows[id]
	if !ok {
		return nil, false, false, fault.New(fault.NotFound, "no replica %s is decided", id)
	}
	if row.Fencing != m.Fencing {
		return row, false, false, fault.New(fault.Fenced, "replica %s has fencing number %d, not %d", id, row.Fencing, m.Fencing)
	}
	if !m.Loaded {
		delete(r.rows, id)
		return row, true, true, nil
	}
	if row.State != coordpb.ReplicaState_REPLICA_STATE_LOAD {
		return row, false, false, nil
	}
	row = edit(row)
	row.State = coordpb.ReplicaState_REPLICA_STATE_READY
	row.Revision = at.revision
	r.rows[id] = row
	return row, true, false, nil
}

// restarted takes back what the earlier incarnation of an agent confirmed: its
// engine may have lost the weights with it. The numbers stay, and the replicas
// count as before, until the new incarnation confirms or denies them.
func (r *replicas) restarted(target string, at step) {
	for _, id := range sorted(r.rows) {
		row := r.rows[id]
		if row.Target != target || row.State != coordpb.ReplicaState_REPLICA_STATE_READY {
			continue
		}
		row = edit(row)
		row.State = coordpb.ReplicaState_REPLICA_STATE_LOAD
		row.Revision = at.revision
		r.rows[id] = row
	}
}

// forget removes the replicas of a target whose host an operator declared gone
// for good, and returns their ids in order.
func (r *replicas) forget(target string) []string {
	var gone []string
	for _, id := range sorted(r.rows) {
		if r.rows[id].Target == target {
			delete(r.rows, id)
			gone = append(gone, id)
		}
	}
	return gone
}

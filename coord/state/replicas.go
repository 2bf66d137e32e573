package state

import (
	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// replicas is the aggregate of replica decisions: which models are placed on which
// targets.
//
// Each load or unload order carries a fencing number (fencing token) from a
// replicated counter. The counter only increases and is part of the snapshot, so
// that no number is issued twice, whatever the leader and after any restart or
// restore. An agent that has executed order n rejects all lower numbers.
//
// A replica counts against the memory of its target from the decision to load it
// until its agent confirms the unload. Releasing the memory earlier could let a
// second load start while the first model is still in memory: an unresponsive
// agent, a lost confirmation and a slow unload cannot be told apart here.
type replicas struct {
	rows        map[string]*coordpb.Replica
	nextFencing uint64
}

func newReplicas() replicas {
	return replicas{rows: map[string]*coordpb.Replica{}, nextFencing: 1}
}

// ReplicaID returns the id of the replica of a model on a target, as used in tables
// and tombstones.
func ReplicaID(model, target string) string {
	return model + "@" + target
}

// decide applies all decisions, or none if one of them is invalid.
func (r *replicas) decide(m *coordpb.DecideReplicas, c *config.Configuration, h *hosts, e *evacuations, at commandContext) (out []*coordpb.Replica, changed bool, err error) {
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
		row, err := r.decideOne(d, r.rows[id], c, h, e)
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
	if err := r.checkCapacity(planned, c); err != nil {
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

// decideOne returns the row that results from a decision. This is the existing row,
// not a copy, if the decision changes nothing.
func (r *replicas) decideOne(d *coordpb.ReplicaDecision, old *coordpb.Replica, c *config.Configuration, h *hosts, e *evacuations) (*coordpb.Replica, error) {
	if !d.Load {
		return decideUnload(d, old)
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
	if h.isTargetLeaving(d.Target, e) {
		return nil, fault.New(fault.Leaving, "the host of target %q leaves", d.Target)
	}
	row := &coordpb.Replica{Model: d.Model, Target: d.Target, Bytes: model.Bytes, Version: model.Version,
		State: coordpb.ReplicaState_REPLICA_STATE_LOAD}
	if old != nil {
		row.Bytes = max(row.Bytes, old.Bytes)
	}
	return row, nil
}

// decideUnload is decideOne for an unload.
func decideUnload(d *coordpb.ReplicaDecision, old *coordpb.Replica) (*coordpb.Replica, error) {
	if old == nil {
		return nil, fault.New(fault.NotFound, "target %q holds no replica of %q", d.Target, d.Model)
	}
	if old.State == coordpb.ReplicaState_REPLICA_STATE_UNLOAD {
		return old, nil
	}
	row := cloneRow(old)
	row.State = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
	return row, nil
}

// checkCapacity rejects decisions that exceed a target's memory for weights. Only
// targets with a new load are checked: if a new configuration reduces the memory of
// a target, unloads there must still be possible.
func (r *replicas) checkCapacity(planned map[string]*coordpb.Replica, c *config.Configuration) error {
	loads := map[string]bool{}
	for id, row := range planned {
		if row != r.rows[id] && row.State == coordpb.ReplicaState_REPLICA_STATE_LOAD {
			loads[row.Target] = true
		}
	}
	for _, target := range sortedIDs(loads) {
		used := r.weightBytes(target, planned)
		if limit := c.Targets[target].WeightBytes(); used > limit {
			return fault.New(fault.NoCapacity, "target %q would hold %d bytes of weights, %d are allowed", target, used, limit)
		}
	}
	return nil
}

// weightBytes returns the total bytes of weights on a target, with the planned rows
// replacing the current ones.
func (r *replicas) weightBytes(target string, planned map[string]*coordpb.Replica) int64 {
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

// confirm records that an agent executed an order. A confirmation with a fencing
// number other than the current one is stale and is rejected: a newer order for the
// replica is pending. removed reports whether the replica was deleted.
func (r *replicas) confirm(m *coordpb.ConfirmReplica, at commandContext) (row *coordpb.Replica, changed, removed bool, err error) {
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
	row = cloneRow(row)
	row.State = coordpb.ReplicaState_REPLICA_STATE_READY
	row.Revision = at.revision
	r.rows[id] = row
	return row, true, false, nil
}

// resetReady returns the ready replicas of a target to the load state after its agent
// restarted, since the engine may have lost its weights. The replicas keep their
// fencing numbers and count against memory as before, until the new incarnation
// confirms that they are loaded or not.
func (r *replicas) resetReady(target string, at commandContext) {
	for _, id := range sortedIDs(r.rows) {
		row := r.rows[id]
		if row.Target != target || row.State != coordpb.ReplicaState_REPLICA_STATE_READY {
			continue
		}
		row = cloneRow(row)
		row.State = coordpb.ReplicaState_REPLICA_STATE_LOAD
		row.Revision = at.revision
		r.rows[id] = row
	}
}

// removeTarget deletes the replicas of a target whose host an operator declared
// permanently lost, and returns their ids in sorted order.
func (r *replicas) removeTarget(target string) []string {
	var removed []string
	for _, id := range sortedIDs(r.rows) {
		if r.rows[id].Target == target {
			delete(r.rows, id)
			removed = append(removed, id)
		}
	}
	return removed
}

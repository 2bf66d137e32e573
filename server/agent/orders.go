package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/target"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// confirmTimeout bounds one report of a carried-out decision, in which a control
// process that fell silent is passed over; it is made again at the next look.
const confirmTimeout = 4 * time.Second

// follow carries out replica decisions until the context ends.
func (a *Agent) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.cfg.Source.Changed()
		a.reconcile(ctx)
		timer := time.NewTimer(a.cfg.Reconcile)
		select {
		case <-changed:
		case <-a.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// nudge makes the next look at the target come at once.
func (a *Agent) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// reconcile reads what the target holds and gives the orders that are decided.
// It begins with the target's own word each time: after a restart of the agent,
// orders that it does not remember may still be under way there.
func (a *Agent) reconcile(ctx context.Context) {
	m := a.memory()
	if m == nil {
		return
	}
	mark := m.mark()
	status, err := a.look(ctx)
	if err != nil {
		m.missed()
		return
	}
	snapshot, _, ok := a.spec()
	if !ok || !a.cfg.Source.Fresh(a.cfg.Now()) {
		// What is not decided here cannot be told from what is not known.
		m.heard(status)
		return
	}
	decided := a.decisions(snapshot)
	for _, order := range m.learn(status, mark, numbers(decided)) {
		if m.begin(order.Model) {
			a.give(ctx, m, &order, nil)
		}
	}
	for _, replica := range decided {
		a.carryOut(ctx, m, snapshot, replica)
	}
	a.unloadUndecided(ctx, m, decided)
}

// look asks the target for its status. A plain service need not have one: any
// answer is a sign of life.
func (a *Agent) look(ctx context.Context) (*Status, error) {
	status, err := a.target.Status(ctx)
	_, spec, _ := a.spec()
	if spec.Kind == config.KindService && fault.Is(err, fault.TargetFailed) {
		return &Status{}, nil
	}
	return status, err
}

// numbers returns the fencing number of each decided model.
func numbers(decided []*coordpb.Replica) map[string]uint64 {
	byModel := map[string]uint64{}
	for _, r := range decided {
		byModel[r.Model] = r.Fencing
	}
	return byModel
}

// decisions returns this target's replicas in order of model.
func (a *Agent) decisions(snapshot *view.Snapshot) []*coordpb.Replica {
	var decided []*coordpb.Replica
	for _, replicas := range snapshot.Replicas {
		for _, r := range replicas {
			if r.Target == a.cfg.Settings.Target {
				decided = append(decided, r)
			}
		}
	}
	slices.SortFunc(decided, func(x, y *coordpb.Replica) int { return strings.Compare(x.Model, y.Model) })
	return decided
}

// carryOut brings the target to one decision, and reports to control when it is
// there or cannot be brought there.
func (a *Agent) carryOut(ctx context.Context, m *memory, snapshot *view.Snapshot, r *coordpb.Replica) {
	held, here := m.replica(r.Model)
	wanted := r.State != coordpb.ReplicaState_REPLICA_STATE_UNLOAD
	if here && held.State == target.LoadFailed {
		// A load that died holds memory until it is unloaded.
		wanted = false
	}
	if r.State == coordpb.ReplicaState_REPLICA_STATE_READY && !here && m.settled(r.Model) {
		a.confirm(ctx, r, false, "the target lost the model")
		return
	}
	spec, known := snapshot.Configuration.Models[r.Model]
	if wanted && !known {
		a.confirm(ctx, r, false, "the model is not in the configuration")
		return
	}
	decision := target.Decision{Model: r.Model, Version: spec.Version, Bytes: spec.Bytes, Fencing: r.Fencing, Load: wanted}
	order, err := m.decide(decision)
	switch {
	case err != nil:
		a.refused(ctx, r, err)
	case order != nil:
		a.give(ctx, m, order, r)
	default:
		a.arrived(ctx, m, r, wanted)
	}
}

// refused reports a decision that does not fit. Other refusals pass: the agent
// does not know its target yet, a newer decision is on its way, or requests
// still run on what is to be unloaded.
func (a *Agent) refused(ctx context.Context, r *coordpb.Replica, err error) {
	if fault.Is(err, fault.NoCapacity) {
		a.confirm(ctx, r, false, string(fault.NoCapacity))
	}
}

// arrived reports a decision that is carried out already, as when the report
// of it was lost.
func (a *Agent) arrived(ctx context.Context, m *memory, r *coordpb.Replica, wanted bool) {
	held, here := m.replica(r.Model)
	switch {
	case !m.settled(r.Model):
	case wanted && here && held.State == target.Ready && r.State == coordpb.ReplicaState_REPLICA_STATE_LOAD:
		a.confirm(ctx, r, true, "")
	case !wanted && !here:
		a.confirm(ctx, r, false, "")
	}
}

// give gives one order in the background and reports its end for the decision
// that it came from, nil if from none.
func (a *Agent) give(ctx context.Context, m *memory, order *target.Order, r *coordpb.Replica) {
	a.stopped.Go(func() {
		begun := a.cfg.Now()
		err := a.carry(ctx, order)
		load := order.Kind == target.OrderLoad
		a.metrics.Ordered(load, err, a.cfg.Now().Sub(begun))
		if err != nil {
			a.log.Warn("order failed", "model", order.Model, "load", load, "fencing", order.Fencing, "kind", fault.From(err).Kind)
		}
		a.conclude(ctx, m, order, r, err)
		a.nudge()
	})
}

func (a *Agent) carry(ctx context.Context, order *target.Order) error {
	o := ModelOrder{Model: order.Model, Version: order.Version, Fencing: order.Fencing}
	if order.Kind == target.OrderUnload {
		return a.target.Unload(ctx, o)
	}
	snapshot, _, ok := a.spec()
	if !ok {
		return fault.New(fault.NotHere, "this target is not in the configuration")
	}
	spec := snapshot.Configuration.Models[order.Model]
	o.Bytes, o.LoadTime = spec.Bytes, spec.LoadTime
	return a.target.Load(ctx, o)
}

// conclude takes in the end of an order from the target's own word: an order's
// answer can be lost, and a load that was answered with an error can be there.
func (a *Agent) conclude(ctx context.Context, m *memory, order *target.Order, r *coordpb.Replica, orderErr error) {
	status, err := a.target.Status(ctx)
	if err != nil {
		m.unknown(order)
		return
	}
	told := status.model(order.Model)
	m.ended(order, told)
	if r == nil {
		return
	}
	switch {
	case order.Kind == target.OrderLoad && told != nil && told.Loaded:
		a.confirm(ctx, r, true, "")
	case order.Kind == target.OrderLoad && told == nil:
		a.confirm(ctx, r, false, string(fault.From(orderErr).Kind))
	case order.Kind == target.OrderUnload && told == nil:
		a.confirm(ctx, r, false, "unloaded")
	}
}

// unloadUndecided frees what the target holds without a decision, such as a
// replica that control has forgotten together with this host.
func (a *Agent) unloadUndecided(ctx context.Context, m *memory, decided []*coordpb.Replica) {
	wanted := numbers(decided)
	replicas, _, known := m.snapshot()
	if !known {
		return
	}
	for _, r := range replicas {
		if _, ok := wanted[r.Model]; ok {
			continue
		}
		order, err := m.decide(target.Decision{Model: r.Model, Version: r.Version, Fencing: r.Fencing})
		if err == nil && order != nil {
			a.give(ctx, m, order, nil)
		}
	}
}

// confirm reports to control what became of a decision. A report that is lost
// is made again at the next look.
func (a *Agent) confirm(ctx context.Context, r *coordpb.Replica, loaded bool, reason string) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmation := &coordpb.ConfirmReplica{Model: r.Model, Target: r.Target, Fencing: r.Fencing, Loaded: loaded, Reason: reason}
	_, err := a.cfg.Control.Confirm(ctx, &rpc.ConfirmRequest{Caller: a.cfg.Caller, Confirmations: []*coordpb.ConfirmReplica{confirmation}})
	if err != nil {
		a.log.Warn("confirmation not taken", "model", r.Model, "fencing", r.Fencing, "kind", fault.From(rpc.FromTwirp(err)).Kind)
	}
}

// Report returns what the target holds, for the agent's Sync calls.
func (a *Agent) Report() *rpc.ReplicaReport {
	report := &rpc.ReplicaReport{Leaving: a.work.Draining()}
	m := a.memory()
	if m == nil {
		return report
	}
	load := a.queue().load()
	report.Running, report.Queued = load.Running, load.Queued
	replicas, status, _ := m.snapshot()
	report.TargetAlive = status != nil
	if status != nil {
		report.MemoryBytes = uint64(max(status.MemoryBytes, 0))
		report.MemoryUsedBytes = uint64(max(status.UsedBytes, 0))
	}
	now := a.cfg.Now()
	for _, r := range replicas {
		if r.State == target.Ready {
			report.Loaded = append(report.Loaded, &rpc.LoadedModel{
				Model: r.Model, Fencing: r.Fencing, IdleMs: now.Sub(r.IdleSince).Milliseconds(), Running: uint32(r.Running)})
		}
	}
	return report
}

package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// confirmTimeout bounds one report of a carried-out decision; it is reported
// again at the next look.
const confirmTimeout = 3 * time.Second

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

// reconcile reads what the target holds and starts what is decided. It always
// begins with the target's own word: after a restart of the agent, orders that
// it does not remember may still be under way there.
func (a *Agent) reconcile(ctx context.Context) {
	status, err := a.target.Status(ctx)
	a.learn(status, err)
	if err != nil {
		return
	}
	snapshot, _, ok := a.spec()
	if !ok || !a.cfg.Source.Fresh(a.cfg.Now()) {
		return
	}
	decided := a.decisions(snapshot)
	for _, replica := range decided {
		a.carryOut(ctx, snapshot, replica)
	}
	a.unloadUndecided(ctx, decided)
}

// learn takes in what the target said. Models with an order under way keep
// what the order will say.
func (a *Agent) learn(status *Status, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
	if err != nil {
		return
	}
	told := map[string]LoadedModel{}
	for _, m := range status.Models {
		told[m.Name] = m
	}
	for name := range a.resident {
		if _, ok := told[name]; !ok && !a.busy[name] {
			delete(a.resident, name)
		}
	}
	for name, m := range told {
		if a.busy[name] {
			continue
		}
		if held := a.resident[name]; held != nil {
			held.model = m
			continue
		}
		a.resident[name] = &residence{model: m, lastUsed: a.cfg.Now()}
	}
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

// carryOut brings the target to one decision, in the background where that
// takes an order.
func (a *Agent) carryOut(ctx context.Context, snapshot *view.Snapshot, r *coordpb.Replica) {
	spec, known := snapshot.Configuration.Models[r.Model]
	held, free := a.holding(r.Model)
	if !free {
		return
	}
	loaded := held != nil && held.Loaded
	switch r.State {
	case coordpb.ReplicaState_REPLICA_STATE_LOAD:
		if loaded && held.Fencing == r.Fencing {
			a.confirm(ctx, r, true, "")
			return
		}
		if !known {
			a.confirm(ctx, r, false, "the model is not in the configuration")
			return
		}
		a.begin(ctx, r, func() error { return a.target.Load(ctx, loadOrder(spec, r.Fencing)) })
	case coordpb.ReplicaState_REPLICA_STATE_READY:
		if !loaded {
			a.confirm(ctx, r, false, "the target lost the model")
		}
	case coordpb.ReplicaState_REPLICA_STATE_UNLOAD:
		if held == nil {
			a.confirm(ctx, r, false, "")
			return
		}
		a.begin(ctx, r, func() error { return a.target.Unload(ctx, ModelOrder{Model: r.Model, Fencing: r.Fencing}) })
	}
}

func loadOrder(spec config.ModelSpec, fencing uint64) ModelOrder {
	return ModelOrder{Model: spec.Name, Version: spec.Version, Bytes: spec.Bytes, Fencing: fencing, LoadTime: spec.LoadTime}
}

// holding returns what the target holds of a model, and whether an order may
// be given for it: none is under way and no request uses it.
func (a *Agent) holding(model string) (held *LoadedModel, free bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.resident[model]
	if at == nil {
		return nil, !a.busy[model]
	}
	copied := at.model
	return &copied, !a.busy[model] && at.running == 0
}

// begin gives one order in the background. While it runs the model takes no
// requests and no second order.
func (a *Agent) begin(ctx context.Context, r *coordpb.Replica, order func() error) {
	if !a.occupy(r.Model) {
		return
	}
	load := r.State == coordpb.ReplicaState_REPLICA_STATE_LOAD
	a.stopped.Go(func() {
		begun := a.cfg.Now()
		err := order()
		a.metrics.Ordered(load, err, a.cfg.Now().Sub(begun))
		if err != nil {
			a.log.Warn("order failed", "model", r.Model, "load", load, "fencing", r.Fencing, "kind", fault.From(err).Kind)
		}
		a.settle(ctx, r, load, err)
	})
}

func (a *Agent) occupy(model string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if held := a.resident[model]; a.busy[model] || held != nil && held.running > 0 {
		return false
	}
	a.busy[model] = true
	return true
}

// settle takes in the end of an order from the target's own word, and reports it.
func (a *Agent) settle(ctx context.Context, r *coordpb.Replica, load bool, orderErr error) {
	status, err := a.target.Status(ctx)
	a.mu.Lock()
	delete(a.busy, r.Model)
	a.mu.Unlock()
	a.learn(status, err)
	if err != nil {
		a.nudge()
		return
	}
	holds := status.holds(r.Model, r.Fencing)
	switch {
	case load && holds:
		a.confirm(ctx, r, true, "")
	case load && !status.lists(r.Model):
		a.confirm(ctx, r, false, string(fault.From(orderErr).Kind))
	case !load && !status.lists(r.Model):
		a.confirm(ctx, r, false, "")
	}
	a.nudge()
}

func (s *Status) lists(model string) bool {
	return slices.ContainsFunc(s.Models, func(m LoadedModel) bool { return m.Name == model })
}

// unloadUndecided frees what the target holds without a decision, such as a
// load whose decision was taken back while its order was under way.
func (a *Agent) unloadUndecided(ctx context.Context, decided []*coordpb.Replica) {
	wanted := map[string]bool{}
	for _, r := range decided {
		wanted[r.Model] = true
	}
	for _, name := range a.held() {
		held, free := a.holding(name)
		if wanted[name] || !free || held == nil {
			continue
		}
		undecided := &coordpb.Replica{Model: name, Target: a.cfg.Settings.Target, Fencing: held.Fencing, State: coordpb.ReplicaState_REPLICA_STATE_UNLOAD}
		a.begin(ctx, undecided, func() error { return a.target.Unload(ctx, ModelOrder{Model: name, Fencing: held.Fencing}) })
	}
}

// held returns the names of all models in the target's memory, in order.
func (a *Agent) held() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := make([]string, 0, len(a.resident))
	for name := range a.resident {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// confirm reports to control what became of a decision. A report that is lost
// is made again at the next look.
func (a *Agent) confirm(ctx context.Context, r *coordpb.Replica, loaded bool, reason string) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmation := &coordpb.ConfirmReplica{Model: r.Model, Target: r.Target, Fencing: r.Fencing, Loaded: loaded, Reason: reason}
	_, err := a.cfg.Control.Confirm(ctx, &rpc.ConfirmRequest{Caller: a.cfg.Caller, Confirmations: []*coordpb.ConfirmReplica{confirmation}})
	if err != nil {
		a.log.Warn("confirmation not taken", "model", r.Model, "fencing", r.Fencing, "error", err)
	}
}

// Report returns what the target holds, for the agent's Sync calls.
func (a *Agent) Report() *rpc.ReplicaReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := &rpc.ReplicaReport{Running: uint32(a.work.Running()), TargetAlive: a.status != nil}
	if a.status != nil {
		report.MemoryBytes = uint64(max(a.status.MemoryBytes, 0))
		report.MemoryUsedBytes = uint64(max(a.status.UsedBytes, 0))
	}
	now := a.cfg.Now()
	for name, held := range a.resident {
		if held.model.Loaded {
			report.Loaded = append(report.Loaded, &rpc.LoadedModel{
				Model: name, Fencing: held.model.Fencing, IdleMs: now.Sub(held.lastUsed).Milliseconds(), Running: uint32(held.running)})
		}
	}
	slices.SortFunc(report.Loaded, func(x, y *rpc.LoadedModel) int { return strings.Compare(x.Model, y.Model) })
	return report
}

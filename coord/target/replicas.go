package target

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: conflicting decisions for one model in quick succession; a partitioned
// control host that returns; an agent that restarts during a load.
// Without it: a late order undoes a newer one, or memory that a load fills is reserved again.
// Rule: reject stale fencing tokens, and all orders until the loaded models are reconciled.
// The agent must enforce this because many engines do not check who sends an order.

// reconcileWait is how long an agent waits after its start for orders that its previous
// process may have sent and the engine has not yet begun. It is longer than a connection
// may stay silent, so that no such order can arrive later.
const reconcileWait = 2 * time.Second

// ReplicaState is the load state of a replica.
type ReplicaState int

// The states of a replica at its target.
const (
	Loading ReplicaState = iota // load ordered, memory reserved
	Ready                       // the engine confirmed the load
	Unloading
	LoadFailed // the load failed; memory stays reserved until the engine confirms that it is free
)

// Replica is a model version at this target. Bytes is its memory; IdleSince is when it last
// became idle: at its load or at the end of a request.
type Replica struct {
	Model     string
	Version   string
	Fencing   uint64
	Bytes     int64
	State     ReplicaState
	Running   int // running requests that use it
	IdleSince time.Time
}

// OrderKind is the operation that an Order requests from the engine.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order instructs the engine to load or unload a model version. The engine's reply is
// passed to Loaded, Unloaded or LoadFailed.
type Order struct {
	Kind    OrderKind
	Model   string
	Version string
	Fencing uint64
}

// Decision is a decision of control to load or unload a model at this target.
type Decision struct {
	Model   string
	Version string
	Bytes   int64
	Fencing uint64
	Load    bool
}

// LoadedModel is a model that the engine reports as loaded or loading.
type LoadedModel struct {
	Model   string
	Version string
	Fencing uint64 // 0 if the engine does not report it
	Bytes   int64
	Loading bool
}

// Replicas tracks the replicas of one target.
type Replicas struct {
	ledger         *Ledger
	started        time.Time
	reconciled     bool // the engine's loaded models have been adopted
	replicas       map[string]*Replica
	highestFencing map[string]uint64 // highest fencing token seen, by model
}

// NewReplicas returns the replicas of an agent that started at now. They are not
// reconciled: Decide rejects every decision until Reconcile has adopted the loaded models.
func NewReplicas(ledger *Ledger, now time.Time) *Replicas {
	return &Replicas{ledger: ledger, started: now, replicas: make(map[string]*Replica), highestFencing: make(map[string]uint64)}
}

// Reconciled reports whether Decide accepts decisions.
func (r *Replicas) Reconciled() bool { return r.reconciled }

// Reconcile updates the replicas from the engine's list of models and from control's
// decided fencing tokens by model. Before reconcileWait has passed, and while a load from
// before the restart is running, it only records the fencing tokens. It returns orders to
// unload the models that control did not decide on.
func (r *Replicas) Reconcile(loaded []LoadedModel, decided map[string]uint64, now time.Time) []Order {
	for model, fencing := range decided {
		r.highestFencing[model] = max(r.highestFencing[model], fencing)
	}
	for _, m := range loaded {
		r.highestFencing[m.Model] = max(r.highestFencing[m.Model], m.Fencing)
	}
	if r.reconciled {
		return r.syncLoaded(loaded, decided, now)
	}
	if now.Sub(r.started) < reconcileWait {
		return nil
	}
	for _, m := range loaded {
		if m.Loading {
			return nil // a load from before the restart is still running
		}
	}
	r.reconciled = true
	return r.adopt(loaded, decided, now)
}

// adopt records all models that the engine reports, and returns the orders to unload those
// that control did not decide on.
func (r *Replicas) adopt(loaded []LoadedModel, decided map[string]uint64, now time.Time) []Order {
	var orders []Order
	for _, m := range loaded {
		_, wanted := decided[m.Model]
		orders = append(orders, r.adoptModel(m, wanted, now)...)
	}
	return orders
}

// adoptModel records a model that the engine reports, and returns the order to unload it
// unless it is wanted.
func (r *Replicas) adoptModel(m LoadedModel, wanted bool, now time.Time) []Order {
	r.ledger.Adopt(entryID(m.Model, m.Version), m.Bytes)
	rep := &Replica{Model: m.Model, Version: m.Version, Fencing: r.highestFencing[m.Model], Bytes: m.Bytes, State: Ready, IdleSince: now}
	r.replicas[m.Model] = rep
	if m.Loading {
		rep.State = Loading
	}
	if wanted {
		return nil
	}
	rep.State = Unloading
	return []Order{{OrderUnload, m.Model, m.Version, rep.Fencing}}
}

// syncLoaded removes replicas that the engine no longer has, as after its restart, and
// adopts models that it has without an order of this process. Those come from an order of
// the previous process that arrived after reconcileWait; if they were ignored, their
// memory would be reserved a second time.
func (r *Replicas) syncLoaded(loaded []LoadedModel, decided map[string]uint64, now time.Time) []Order {
	has := make(map[string]bool, len(loaded))
	var orders []Order
	for _, m := range loaded {
		has[m.Model] = true
		if _, known := r.replicas[m.Model]; !known {
			_, wanted := decided[m.Model]
			orders = append(orders, r.adoptModel(m, wanted, now)...)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(r.replicas)) {
		rep := r.replicas[model]
		if !has[model] && rep.State != Loading {
			r.drop(rep)
		}
	}
	return orders
}

// Decide applies a decision of control and returns the order for the engine. A nil order
// with a nil error means that the decision is already carried out or in progress. Errors:
// fault.Unavailable until reconciled, fault.Fenced for a fencing token below the highest
// seen for the model, fault.NoCapacity if there is not enough memory for the load,
// fault.Overloaded while requests run on the replica to unload.
func (r *Replicas) Decide(d Decision, now time.Time) (*Order, error) {
	if !r.reconciled {
		return nil, fault.New(fault.Unavailable, "the agent has not yet reconciled the models at its target")
	}
	if d.Fencing < r.highestFencing[d.Model] {
		return nil, fault.New(fault.Fenced, "fencing token %d for model %s is stale: the highest seen is %d", d.Fencing, d.Model, r.highestFencing[d.Model])
	}
	r.highestFencing[d.Model] = d.Fencing
	rep, present := r.replicas[d.Model]
	if d.Load {
		return r.load(d, rep, present, now)
	}
	if !present {
		return nil, nil
	}
	return r.unload(d, rep)
}

func (r *Replicas) load(d Decision, rep *Replica, present bool, now time.Time) (*Order, error) {
	if present && rep.Version == d.Version && rep.State != Unloading {
		rep.Fencing = d.Fencing
		if rep.State == LoadFailed {
			rep.State = Loading
			return &Order{OrderLoad, d.Model, d.Version, d.Fencing}, nil
		}
		return nil, nil
	}
	if err := r.ledger.Reserve(entryID(d.Model, d.Version), d.Bytes); err != nil {
		return nil, err
	}
	r.replicas[d.Model] = &Replica{Model: d.Model, Version: d.Version, Fencing: d.Fencing, Bytes: d.Bytes, State: Loading, IdleSince: now}
	return &Order{OrderLoad, d.Model, d.Version, d.Fencing}, nil
}

func (r *Replicas) unload(d Decision, rep *Replica) (*Order, error) {
	rep.Fencing = d.Fencing
	if rep.Running > 0 {
		return nil, fault.New(fault.Overloaded, "cannot unload while %d requests run on model %s", rep.Running, d.Model)
	}
	rep.State = Unloading
	return &Order{OrderUnload, rep.Model, rep.Version, d.Fencing}, nil
}

// Loaded records the engine's confirmation of a load. It returns false if the load is
// unknown, superseded or being unloaded.
func (r *Replicas) Loaded(model, version string, now time.Time) bool {
	rep, known := r.replicas[model]
	if !known || rep.Version != version || rep.State == Unloading {
		return false
	}
	rep.State, rep.IdleSince = Ready, now
	return r.ledger.Confirm(entryID(model, version))
}

// LoadFailed records that a load failed. Its memory stays reserved until Unloaded is called.
func (r *Replicas) LoadFailed(model, version string) {
	if rep, known := r.replicas[model]; known && rep.Version == version {
		rep.State = LoadFailed
	}
}

// Unloaded records the engine's confirmation that no part of a model version is in memory, and
// frees its reservation.
func (r *Replicas) Unloaded(model, version string) {
	r.ledger.Free(entryID(model, version))
	if rep, known := r.replicas[model]; known && rep.Version == version {
		delete(r.replicas, model)
	}
}

func (r *Replicas) drop(rep *Replica) {
	r.Unloaded(rep.Model, rep.Version)
}

// Acquire counts a request that starts on a model; Release ends it. The error is fault.NotHere
// if the model is not ready.
func (r *Replicas) Acquire(model string) error {
	rep, known := r.replicas[model]
	if !known || rep.State != Ready {
		return fault.New(fault.NotHere, "model %s is not loaded at this target", model)
	}
	rep.Running++
	return nil
}

// Release records the end of a request that was counted by Acquire.
func (r *Replicas) Release(model string, now time.Time) {
	if rep, known := r.replicas[model]; known && rep.Running > 0 {
		rep.Running--
		rep.IdleSince = now
	}
}

// All returns copies of the replicas, sorted by model.
func (r *Replicas) All() []Replica {
	all := make([]Replica, 0, len(r.replicas))
	for _, rep := range r.replicas {
		all = append(all, *rep)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Model < all[j].Model })
	return all
}

// entryID returns the ledger ID of a model or adapter; for an adapter, version is its model.
func entryID(name, version string) string {
	return fmt.Sprintf("%s@%s", name, version)
}

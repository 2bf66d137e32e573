package target

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: decisions and counter-decisions for one model in quick succession, a
// control host that was cut off and comes back, an agent that restarts mid-load.
//
// Without fencing numbers a late order undoes a newer one. Without the reconcile state
// a restarted agent obeys an old order, or lends memory that a load from before its
// restart is filling: many engines do not check who orders them, so the agent is the
// fence and must know what is loaded before it lets anything through.

// reconcileWait is how long after its start an agent waits out orders that its
// earlier run may have sent and the engine has not begun: above the bound on silence
// of a connection, so that none can arrive later.
const reconcileWait = 2 * time.Second

// ReplicaState is how far a replica is.
type ReplicaState int

// The states of a replica at its target.
const (
	Loading ReplicaState = iota // ordered; memory reserved
	Ready                       // the engine confirmed it
	Unloading
	Stuck // the load failed; memory stays reserved until the engine confirms it gone
)

// Replica is a model at this target.
type Replica struct {
	Model   string
	Version string
	Fencing uint64
	Bytes   int64
	State   ReplicaState
	Running int // requests that run on it
	Idle    time.Time
}

// OrderKind is what the agent tells the engine.
type OrderKind int

// The orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order is one order to the engine. The answer goes to Loaded, Gone or LoadFailed.
type Order struct {
	Kind    OrderKind
	Model   string
	Version string
	Fencing uint64
}

// Decision is what control decided about one model at this target.
type Decision struct {
	Model   string
	Version string
	Bytes   int64
	Fencing uint64
	Load    bool
}

// LoadedModel is what the engine says it has.
type LoadedModel struct {
	Model   string
	Version string
	Fencing uint64 // 0 where the engine does not tell
	Bytes   int64
	Loading bool
}

// Replicas keeps the replicas of one target.
type Replicas struct {
	ledger   *Ledger
	started  time.Time
	known    bool // the engine told what is loaded
	replicas map[string]*Replica
	fences   map[string]uint64 // highest number seen for each model
}

// NewReplicas returns the replicas of an agent that has just started: in reconcile
// state, in which every order is refused.
func NewReplicas(ledger *Ledger, now time.Time) *Replicas {
	return &Replicas{ledger: ledger, started: now, replicas: make(map[string]*Replica), fences: make(map[string]uint64)}
}

// Reconciled reports whether orders are obeyed.
func (r *Replicas) Reconciled() bool { return r.known }

// Reconcile takes the engine's list and the numbers that control holds for this
// target. Before the wait for orders in flight is over it only learns. It returns the
// orders to unload what nobody decided.
func (r *Replicas) Reconcile(loaded []LoadedModel, decided map[string]uint64, now time.Time) []Order {
	for model, fencing := range decided {
		r.fences[model] = max(r.fences[model], fencing)
	}
	for _, m := range loaded {
		r.fences[m.Model] = max(r.fences[m.Model], m.Fencing)
	}
	if r.known {
		return r.compare(loaded, decided, now)
	}
	if now.Sub(r.started) < reconcileWait {
		return nil
	}
	for _, m := range loaded {
		if m.Loading {
			return nil // a load from before the restart still runs
		}
	}
	r.known = true
	return r.adopt(loaded, decided, now)
}

func (r *Replicas) adopt(loaded []LoadedModel, decided map[string]uint64, now time.Time) []Order {
	var orders []Order
	for _, m := range loaded {
		_, wanted := decided[m.Model]
		orders = append(orders, r.adoptOne(m, wanted, now)...)
	}
	return orders
}

// adoptOne enters a model that the engine has, and returns the order to unload it when
// nobody wants it.
func (r *Replicas) adoptOne(m LoadedModel, wanted bool, now time.Time) []Order {
	r.ledger.Adopt(entryID(m.Model, m.Version), m.Bytes)
	rep := &Replica{Model: m.Model, Version: m.Version, Fencing: r.fences[m.Model], Bytes: m.Bytes, State: Ready, Idle: now}
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

// compare frees what an engine that restarted no longer has, and adopts what it has
// without an order of this run. The latter is an order of the earlier run that arrived
// after the wait: were it ignored, its memory would be lent a second time.
func (r *Replicas) compare(loaded []LoadedModel, decided map[string]uint64, now time.Time) []Order {
	has := make(map[string]bool, len(loaded))
	var orders []Order
	for _, m := range loaded {
		has[m.Model] = true
		if _, known := r.replicas[m.Model]; !known {
			_, wanted := decided[m.Model]
			orders = append(orders, r.adoptOne(m, wanted, now)...)
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

// Decide takes a decision of control. A nil order with a nil error means that it is
// carried out already or under way. Errors: fault.Unavailable while reconciling,
// fault.Fenced for a number below the highest seen, fault.NoCapacity when the load does
// not fit, fault.Overloaded while requests run on what is to be unloaded.
func (r *Replicas) Decide(d Decision, now time.Time) (*Order, error) {
	if !r.known {
		return nil, fault.New(fault.Unavailable, "the agent does not yet know what its target holds")
	}
	if d.Fencing < r.fences[d.Model] {
		return nil, fault.New(fault.Fenced, "order %d for %s is older than %d", d.Fencing, d.Model, r.fences[d.Model])
	}
	r.fences[d.Model] = d.Fencing
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
		if rep.State == Stuck {
			rep.State = Loading
			return &Order{OrderLoad, d.Model, d.Version, d.Fencing}, nil
		}
		return nil, nil
	}
	if err := r.ledger.Reserve(entryID(d.Model, d.Version), d.Bytes); err != nil {
		return nil, err
	}
	r.replicas[d.Model] = &Replica{Model: d.Model, Version: d.Version, Fencing: d.Fencing, Bytes: d.Bytes, State: Loading, Idle: now}
	return &Order{OrderLoad, d.Model, d.Version, d.Fencing}, nil
}

func (r *Replicas) unload(d Decision, rep *Replica) (*Order, error) {
	rep.Fencing = d.Fencing
	if rep.Running > 0 {
		return nil, fault.New(fault.Overloaded, "%d requests run on %s", rep.Running, d.Model)
	}
	rep.State = Unloading
	return &Order{OrderUnload, rep.Model, rep.Version, d.Fencing}, nil
}

// Loaded notes the engine's word that a load is done.
func (r *Replicas) Loaded(model, version string, now time.Time) bool {
	rep, known := r.replicas[model]
	if !known || rep.Version != version || rep.State == Unloading {
		return false
	}
	rep.State, rep.Idle = Ready, now
	return r.ledger.Confirm(entryID(model, version))
}

// LoadFailed notes that a load broke off: the memory stays reserved until Gone.
func (r *Replicas) LoadFailed(model, version string) {
	if rep, known := r.replicas[model]; known && rep.Version == version {
		rep.State = Stuck
	}
}

// Gone notes the engine's word that nothing of a model's version is in memory.
func (r *Replicas) Gone(model, version string) {
	r.ledger.Free(entryID(model, version))
	if rep, known := r.replicas[model]; known && rep.Version == version {
		delete(r.replicas, model)
	}
}

func (r *Replicas) drop(rep *Replica) {
	r.Gone(rep.Model, rep.Version)
}

// Use notes that a request starts on a model: fault.NotHere when it is not ready.
func (r *Replicas) Use(model string) error {
	rep, known := r.replicas[model]
	if !known || rep.State != Ready {
		return fault.New(fault.NotHere, "%s is not loaded here", model)
	}
	rep.Running++
	return nil
}

// Release notes that a request on a model has ended.
func (r *Replicas) Release(model string, now time.Time) {
	if rep, known := r.replicas[model]; known && rep.Running > 0 {
		rep.Running--
		rep.Idle = now
	}
}

// All returns the replicas in order of model.
func (r *Replicas) All() []Replica {
	all := make([]Replica, 0, len(r.replicas))
	for _, rep := range r.replicas {
		all = append(all, *rep)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Model < all[j].Model })
	return all
}

func entryID(name, version string) string {
	return fmt.Sprintf("%s@%s", name, version)
}

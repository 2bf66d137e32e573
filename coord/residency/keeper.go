package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Keeper decides about the loads and unloads of one target. It is not safe for concurrent use.
type Keeper struct {
	engine          Engine
	demand          map[string]Demand
	report          Report
	hasReport       bool                  // at least one report was observed
	waiters         map[string]*Want      // by ID
	retries         map[string][]retry    // by model
	pending         *pendingOrder         // the order that was sent and whose result is not known
	loading         map[string]activeLoad // accepted loads by model, until a report shows their end
	lastWanted      map[string]time.Time  // by model or model/adapter: when a request last asked for it
	keepUntil       map[string]time.Time  // by model: it is not evicted before
	nextOrderAt     time.Time             // no order is sent before
	storeBusyUntil  time.Time             // the weight store accepts no load for this target before
	unloadRefusedAt map[string]time.Time  // by model/adapter: when its unload was refused, as it is in use
	reserved        reservation           // room reserved for one more copy
}

// activeLoad is a load of a model that was accepted and has not ended.
type activeLoad struct {
	start    time.Time
	expected time.Duration
}

// pendingOrder is an order that was sent and whose result is not known.
type pendingOrder struct {
	order      Order
	unanswered bool // an attempt to send it got no answer
}

// Times that decisions and forecasts are based on.
const (
	// minResidency protects a model from eviction after a load, so that the requests that
	// waited for it can arrive and begin.
	minResidency = 1500 * time.Millisecond
	// refusalDelay is the pause after an order that was not accepted or not answered, and after
	// an accepted unload of a model. The next report shows the target's state.
	refusalDelay = 100 * time.Millisecond
	// valueHorizon is the time over which the expected value of a held model is compared with
	// the value of the requests for another one. It is about the time that replacing a model
	// takes: the unload, which waits for running requests, and a load from disk.
	valueHorizon = 3 * time.Second
	// orderDelay is added to load times in forecasts. It covers the order itself, the report
	// that shows the end of the load, and the request's transfer to the target.
	orderDelay = 150 * time.Millisecond
	// typicalUnloadWait is how long an unload usually waits for running requests to finish.
	typicalUnloadWait = time.Second
)

// NewKeeper returns a scheduler that gives no orders until it has a configuration and a report.
func NewKeeper() *Keeper {
	return &Keeper{
		demand: map[string]Demand{}, waiters: map[string]*Want{}, retries: map[string][]retry{}, loading: map[string]activeLoad{},
		lastWanted: map[string]time.Time{}, keepUntil: map[string]time.Time{}, unloadRefusedAt: map[string]time.Time{},
	}
}

// Configure sets the configuration of the target's service.
func (k *Keeper) Configure(e Engine) { k.engine = e }

// SetDemand sets the fleet-wide demand by model.
func (k *Keeper) SetDemand(d map[string]Demand) { k.demand = d }

// Holds reports whether the target holds a model and, unless adapter is empty, that adapter.
func (k *Keeper) Holds(model, adapter string) bool {
	adapters, held := k.report.Models[model]
	return held && (adapter == "" || slices.Contains(adapters, adapter))
}

// Loading returns the model that is being loaded, or "" if there is none.
func (k *Keeper) Loading() string {
	for _, m := range slices.Sorted(maps.Keys(k.loading)) {
		return m
	}
	return ""
}

// Observe updates the state from the target's newest report and returns the verdicts for the
// requests whose wait it ends.
func (k *Keeper) Observe(r Report, now time.Time) []Verdict {
	if k.hasReport && r.Start != k.report.Start {
		k.reset()
	}
	k.report, k.hasReport = r, true
	if k.pending != nil && r.Sequence > k.pending.order.After {
		// An order with that sequence was accepted: either this one, or another one, after
		// which the target refuses this one.
		k.resolvePending(now)
	}
	for model := range k.loading {
		if _, held := r.Models[model]; held {
			k.keepUntil[model] = now.Add(minResidency)
			delete(k.loading, model)
		} else if !r.Busy {
			delete(k.loading, model)
		}
	}
	return k.resolveHeld(now)
}

// reset clears the state that a restart of the target ends: after it the target holds nothing.
func (k *Keeper) reset() {
	k.pending = nil
	k.reserved = reservation{}
	clear(k.loading)
	clear(k.keepUntil)
}

// resolvePending ends the wait for the pending order's result. It was accepted or can no longer be;
// the report shows which.
func (k *Keeper) resolvePending(now time.Time) {
	o := k.pending.order
	k.pending = nil
	k.reserve(o, now)
	if o.Load && o.Adapter == "" && k.report.Busy {
		k.loading[o.Model] = activeLoad{now, k.loadTime(o.Model)}
	}
}

// Add adds a waiting request. If the model is held already, is not configured, or is not forecast
// to be ready before the end of the wait, the request does not wait: Add returns its verdict and
// true.
func (k *Keeper) Add(w Want, now time.Time) (Verdict, bool) {
	k.lastWanted[w.Model] = now
	if w.Adapter != "" {
		k.lastWanted[w.Model+"/"+w.Adapter] = now
	}
	if _, known := k.engine.Models[w.Model]; !known {
		return Verdict{ID: w.ID, Reason: "the model is not in the configuration"}, true
	}
	if k.Holds(w.Model, w.Adapter) {
		return Verdict{ID: w.ID, Held: true}, true
	}
	if ready := k.forecast(w, now); now.Add(ready).After(w.Until) {
		expected := w.Retries && k.expectRetry(w, ready, now)
		return Verdict{ID: w.ID, RetryAfter: ready, Expected: expected, Reason: "it would be ready too late"}, true
	}
	k.waiters[w.ID] = &w
	return Verdict{}, false
}

// Drop removes a waiting request whose caller has gone.
func (k *Keeper) Drop(id string) { delete(k.waiters, id) }

// Waiting returns the number of waiting requests.
func (k *Keeper) Waiting() int { return len(k.waiters) }

// Tick removes expired retries, and returns the verdicts for the requests whose wait has ended.
func (k *Keeper) Tick(now time.Time) []Verdict {
	k.expireRetries(now)
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.waiters)) {
		w := k.waiters[id]
		if now.Before(w.Until) {
			continue
		}
		delete(k.waiters, id)
		out = append(out, Verdict{ID: id, RetryAfter: k.forecast(*w, now), Reason: "it was not ready within the wait limit"})
	}
	return out
}

// FailAll ends the wait of all requests with a reason, for instance when the target does not answer.
// No retry of refused callers is expected any more.
func (k *Keeper) FailAll(reason string) []Verdict {
	clear(k.retries)
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.waiters)) {
		out = append(out, Verdict{ID: id, Reason: reason})
	}
	clear(k.waiters)
	return out
}

// resolveHeld ends the wait of the requests whose model, and adapter if any, is held now.
func (k *Keeper) resolveHeld(now time.Time) []Verdict {
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.waiters)) {
		w := k.waiters[id]
		if !k.Holds(w.Model, w.Adapter) {
			continue
		}
		k.keepUntil[w.Model] = now.Add(minResidency)
		delete(k.waiters, id)
		out = append(out, Verdict{ID: id, Held: true})
	}
	return out
}

// Next returns the order to send now, if any. While the result of an order is unknown, only the
// same order is sent again. If the first attempt was accepted, the target's sequence has advanced
// and the second is refused; if not, the second takes effect instead.
func (k *Keeper) Next(now time.Time) (Order, bool) {
	if !k.hasReport || len(k.engine.Models) == 0 || now.Before(k.nextOrderAt) {
		return Order{}, false
	}
	if k.pending != nil {
		if k.pending.unanswered {
			return k.pending.order, true
		}
		return Order{}, false // its result is not known yet
	}
	if k.report.Busy || len(k.loading) > 0 {
		return Order{}, false // the target would refuse any order, also one on an adapter
	}
	if o, ok := k.nextAdapterOrder(now); ok {
		return o, true
	}
	return k.nextModelOrder(now)
}

// Idle reports whether no order is pending or under way and none is delayed, so that Next
// returning no order means that none is needed.
func (k *Keeper) Idle(now time.Time) bool {
	return k.hasReport && k.pending == nil && !k.report.Busy && len(k.loading) == 0 && !now.Before(k.nextOrderAt)
}

// Sent records that an order is being sent. The caller must report its result.
func (k *Keeper) Sent(o Order) { k.pending = &pendingOrder{order: o} }

// Answered records the result of the order that was sent.
func (k *Keeper) Answered(o Order, r Result, now time.Time) {
	if k.pending == nil || k.pending.order != o {
		return // a report has resolved it already
	}
	switch r {
	case Accepted:
		k.report.Sequence = max(k.report.Sequence, o.After+1)
		k.pending = nil
		k.applyAccepted(o, now)
	case Unknown:
		k.pending.unanswered = true
		k.nextOrderAt = now.Add(refusalDelay)
	case Refused, Rejected, Holds:
		// If an earlier attempt got no answer, a refusal can mean that the earlier one was
		// accepted. The next report shows which.
		k.pending = nil
		if o.Adapter != "" && !o.Load && !k.report.Busy {
			k.unloadRefusedAt[o.Model+"/"+o.Adapter] = now
			return
		}
		k.nextOrderAt = now.Add(refusalDelay)
	}
}

// applyAccepted applies an accepted order to the state, as the next report will show it.
func (k *Keeper) applyAccepted(o Order, now time.Time) {
	k.reserve(o, now)
	switch {
	case o.Adapter != "" && o.Load:
		k.report.Coming = withAdapter(k.report.Coming, o.Model, o.Adapter)
	case o.Adapter != "":
		k.report.Models[o.Model] = without(k.report.Models[o.Model], o.Adapter)
	case o.Load:
		k.report.Busy = true
		k.loading[o.Model] = activeLoad{now, k.loadTime(o.Model)}
	default:
		k.report.Busy = true
		k.nextOrderAt = now.Add(refusalDelay)
	}
}

func withAdapter(m map[string][]string, model, adapter string) map[string][]string {
	out := maps.Clone(m)
	if out == nil {
		out = map[string][]string{}
	}
	out[model] = append(slices.Clone(out[model]), adapter)
	return out
}

func without(list []string, removed string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == removed })
}

// loadTime returns the expected time to load a model from the nearest place that has its weights.
func (k *Keeper) loadTime(model string) time.Duration {
	m := k.engine.Models[model]
	switch {
	case slices.Contains(k.report.InMemory, model):
		return m.FromHost
	case slices.Contains(k.report.OnDisk, model):
		return m.FromDisk
	}
	return m.FromStore
}

// fromStore reports whether a model must be loaded from the weight store.
func (k *Keeper) fromStore(model string) bool {
	return !slices.Contains(k.report.InMemory, model) && !slices.Contains(k.report.OnDisk, model)
}

// forecast returns how long it will take, in the current state, until a waiting request can run.
func (k *Keeper) forecast(w Want, now time.Time) time.Duration {
	if _, held := k.report.Models[w.Model]; held {
		return orderDelay
	}
	if l, loading := k.loading[w.Model]; loading {
		return l.left(now) + orderDelay
	}
	wait := orderDelay + k.loadingRemaining(now)
	for _, model := range k.modelsToLoad() {
		if model == w.Model {
			break
		}
		wait += k.loadTime(model) + typicalUnloadWait
	}
	if !k.fits(w.Model) {
		wait += typicalUnloadWait
	}
	if k.fromStore(w.Model) {
		wait = max(wait, k.storeBusyUntil.Sub(now))
	}
	return wait + k.loadTime(w.Model)
}

// left returns how much longer a load is expected to take.
func (l activeLoad) left(now time.Time) time.Duration { return max(0, l.expected-now.Sub(l.start)) }

// loadingRemaining returns how much longer the loads under way are expected to take.
func (k *Keeper) loadingRemaining(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, l := range k.loading {
		sum += l.left(now)
	}
	return sum
}

// LoadWait returns how long a load that is requested now would wait until it can begin.
func (k *Keeper) LoadWait(now time.Time) time.Duration {
	wait := k.loadingRemaining(now)
	for _, model := range k.Awaited() {
		wait += k.loadTime(model) + typicalUnloadWait
	}
	return wait
}

// Awaited returns the models that are to be loaded and are not loading yet, in the order in
// which they will be loaded.
func (k *Keeper) Awaited() []string {
	return slices.DeleteFunc(k.modelsToLoad(), func(model string) bool {
		_, loading := k.loading[model]
		return loading
	})
}

// StoreBusy records that the weight store accepts no load for this target for the given time.
// It returns the waiting requests that can no longer be served within their wait limit, so that
// their callers retry when they can be.
func (k *Keeper) StoreBusy(wait time.Duration, now time.Time) []Verdict {
	k.storeBusyUntil = now.Add(wait)
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.waiters)) {
		w := k.waiters[id]
		if _, held := k.report.Models[w.Model]; held || !k.fromStore(w.Model) {
			continue
		}
		if _, loading := k.loading[w.Model]; loading {
			continue
		}
		if ready := k.forecast(*w, now); now.Add(ready).After(w.Until) {
			delete(k.waiters, id)
			out = append(out, Verdict{ID: id, RetryAfter: ready, Reason: "the weight store is busy with other loads"})
		}
	}
	return out
}

// modelsToLoad returns the models that are not held and that requests wait for or expected
// retries need, in descending order of value per second of load time.
func (k *Keeper) modelsToLoad() []string {
	value := map[string]float64{}
	for _, w := range k.waiters {
		if _, held := k.report.Models[w.Model]; !held {
			value[w.Model] += w.Worth
		}
	}
	for model := range k.retries {
		if _, held := k.report.Models[model]; !held && k.retriesJustifyLoad(model) {
			value[model] += k.retryValue(model)
		}
	}
	models := slices.Sorted(maps.Keys(value))
	slices.SortStableFunc(models, func(a, b string) int {
		return cmp.Compare(value[b]/k.cost(b), value[a]/k.cost(a))
	})
	return models
}

// cost returns the expected time to load a model, with the overhead of the order, in seconds.
func (k *Keeper) cost(model string) float64 { return (k.loadTime(model) + orderDelay).Seconds() }

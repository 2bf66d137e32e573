package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Keeper decides for one target. It is not safe for concurrent use.
type Keeper struct {
	engine  Engine
	demand  map[string]Demand
	report  Report
	known   bool // a report has come
	wants   map[string]*Want
	retries map[string][]retry   // by model
	pending *pending             // the order that was sent and is not settled
	loading map[string]loadBegun // model loads that were accepted, until reported
	used    map[string]time.Time // model or model/adapter, when last wanted
	stay    map[string]time.Time // models that must not make way before
	ready   time.Time            // no order before
	store   time.Time            // the weight store takes no load for this target before
	refused map[string]time.Time // model/adapter whose unload was refused: it is in use
	growing growth               // the further copy that room was made for
}

type loadBegun struct {
	at   time.Time
	take time.Duration
}

// pending is an order whose fate is open.
type pending struct {
	order Order
	sent  bool // an attempt got no answer
}

// Times and shares of the keeper.
const (
	// minStay is how long a model stays after it was loaded on demand: the requests
	// that waited for it arrive and begin within it.
	minStay = 1500 * time.Millisecond
	// refusalPause is the wait after an order that the target did not take: its
	// state is known again with the next report.
	refusalPause = 100 * time.Millisecond
	// keepHorizon is the time over which a held model's expected worth is weighed
	// against what waits for another: about what a load from disk and the runs that
	// an unload waits for cost together.
	keepHorizon = 3 * time.Second
	// orderSlack is added to a load's expected time in forecasts: the order, the
	// report that shows its end, and the request's way.
	orderSlack = 150 * time.Millisecond
	// unloadWait is the usual wait of an unload for the runs under way.
	unloadWait = time.Second
)

// NewKeeper returns a keeper without a report.
func NewKeeper() *Keeper {
	return &Keeper{
		demand: map[string]Demand{}, wants: map[string]*Want{}, retries: map[string][]retry{}, loading: map[string]loadBegun{},
		used: map[string]time.Time{}, stay: map[string]time.Time{}, refused: map[string]time.Time{},
	}
}

// Configure takes what the configuration says of the target's service.
func (k *Keeper) Configure(e Engine) { k.engine = e }

// SetDemand takes the fleet's demand by model.
func (k *Keeper) SetDemand(d map[string]Demand) { k.demand = d }

// Holds reports whether the target holds a model, and an adapter of it unless that
// is empty.
func (k *Keeper) Holds(model, adapter string) bool {
	adapters, held := k.report.Models[model]
	return held && (adapter == "" || slices.Contains(adapters, adapter))
}

// Loading is the model whose load is under way, empty if none is.
func (k *Keeper) Loading() string {
	for _, m := range slices.Sorted(maps.Keys(k.loading)) {
		return m
	}
	return ""
}

// Observe takes the target's newest report and returns the wants that it settles.
func (k *Keeper) Observe(r Report, now time.Time) []Verdict {
	if k.known && r.Start != k.report.Start {
		k.restart()
	}
	k.report, k.known = r, true
	if k.pending != nil && r.Sequence > k.pending.order.After {
		// Some order was accepted at that sequence: this one, or one that makes it void.
		k.settle(now)
	}
	for model := range k.loading {
		if _, held := r.Models[model]; held {
			k.stay[model] = now.Add(minStay)
			delete(k.loading, model)
		} else if !r.Busy {
			delete(k.loading, model)
		}
	}
	return k.held(now)
}

// restart forgets what was true of the target before its restart: it holds nothing.
func (k *Keeper) restart() {
	k.pending = nil
	k.growing = growth{}
	clear(k.loading)
	clear(k.stay)
}

// settle takes the pending order as carried out or void; the report says which.
func (k *Keeper) settle(now time.Time) {
	o := k.pending.order
	k.pending = nil
	k.reserve(o, now)
	if o.Load && o.Adapter == "" && k.report.Busy {
		k.loading[o.Model] = loadBegun{now, k.loadTime(o.Model)}
	}
}

// Add notes a want. It returns a verdict at once where the model is held, or where
// it cannot be held in time.
func (k *Keeper) Add(w Want, now time.Time) (Verdict, bool) {
	k.used[w.Model] = now
	if w.Adapter != "" {
		k.used[w.Model+"/"+w.Adapter] = now
	}
	if _, known := k.engine.Models[w.Model]; !known {
		return Verdict{ID: w.ID, Reason: "the configuration does not know the model"}, true
	}
	if k.Holds(w.Model, w.Adapter) {
		return Verdict{ID: w.ID, Held: true}, true
	}
	if ready := k.forecast(w, now); now.Add(ready).After(w.Until) {
		expected := w.Retries && k.expectRetry(w, ready, now)
		return Verdict{ID: w.ID, RetryAfter: ready, Expected: expected, Reason: "it would be ready too late"}, true
	}
	k.wants[w.ID] = &w
	return Verdict{}, false
}

// Drop forgets a want whose caller has gone.
func (k *Keeper) Drop(id string) { delete(k.wants, id) }

// Waiting returns the number of wants.
func (k *Keeper) Waiting() int { return len(k.wants) }

// Tick returns the wants whose time is over.
func (k *Keeper) Tick(now time.Time) []Verdict {
	k.dropRetries(now)
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.wants)) {
		w := k.wants[id]
		if now.Before(w.Until) {
			continue
		}
		delete(k.wants, id)
		out = append(out, Verdict{ID: id, RetryAfter: k.forecast(*w, now), Reason: "it did not become ready in time"})
	}
	return out
}

// FailAll gives up all wants, as when the target does not answer.
func (k *Keeper) FailAll(reason string) []Verdict {
	clear(k.retries)
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.wants)) {
		out = append(out, Verdict{ID: id, Reason: reason})
	}
	clear(k.wants)
	return out
}

func (k *Keeper) held(now time.Time) []Verdict {
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.wants)) {
		w := k.wants[id]
		if !k.Holds(w.Model, w.Adapter) {
			continue
		}
		k.stay[w.Model] = now.Add(minStay)
		delete(k.wants, id)
		out = append(out, Verdict{ID: id, Held: true})
	}
	return out
}

// Next returns the order to send now, if any. While an order's fate is open only
// the same order is sent again: if the first was accepted the target's sequence has
// moved on and the second is refused; if not, the second takes its place.
func (k *Keeper) Next(now time.Time) (Order, bool) {
	if !k.known || len(k.engine.Models) == 0 || now.Before(k.ready) {
		return Order{}, false
	}
	if k.pending != nil {
		if k.pending.sent {
			return k.pending.order, true
		}
		return Order{}, false // its answer is awaited
	}
	if k.report.Busy || len(k.loading) > 0 {
		return Order{}, false // it would refuse any order, on adapters too
	}
	if o, ok := k.nextAdapter(now); ok {
		return o, true
	}
	return k.nextModel(now)
}

// Idle reports whether no order is open or being carried out, and none need wait: what
// Next does not order now is not wanted.
func (k *Keeper) Idle(now time.Time) bool {
	return k.known && k.pending == nil && !k.report.Busy && len(k.loading) == 0 && !now.Before(k.ready)
}

// Sent notes that an order goes out.
func (k *Keeper) Sent(o Order) { k.pending = &pending{order: o} }

// Answered notes what became of the order that was sent.
func (k *Keeper) Answered(o Order, r Result, now time.Time) {
	if k.pending == nil || k.pending.order != o {
		return // a report has settled it
	}
	switch r {
	case Accepted:
		k.report.Sequence = max(k.report.Sequence, o.After+1)
		k.pending = nil
		k.accepted(o, now)
	case Unknown:
		k.pending.sent = true
		k.ready = now.Add(refusalPause)
	case Refused, Rejected, Holds:
		// After an attempt without an answer a refusal can mean that the first one
		// was accepted: the next report shows which.
		k.pending = nil
		if o.Adapter != "" && !o.Load && !k.report.Busy {
			k.refused[o.Model+"/"+o.Adapter] = now
			return
		}
		k.ready = now.Add(refusalPause)
	}
}

// accepted notes what the next report will show.
func (k *Keeper) accepted(o Order, now time.Time) {
	k.reserve(o, now)
	switch {
	case o.Adapter != "" && o.Load:
		k.report.Coming = withAdapter(k.report.Coming, o.Model, o.Adapter)
	case o.Adapter != "":
		k.report.Models[o.Model] = without(k.report.Models[o.Model], o.Adapter)
	case o.Load:
		k.report.Busy = true
		k.loading[o.Model] = loadBegun{now, k.loadTime(o.Model)}
	default:
		k.report.Busy = true
		k.ready = now.Add(refusalPause)
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

func without(list []string, gone string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == gone })
}

// loadTime is how long a load is expected to take, by where the weights are.
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

func (k *Keeper) fromStore(model string) bool {
	return !slices.Contains(k.report.InMemory, model) && !slices.Contains(k.report.OnDisk, model)
}

// forecast says when a want can be held, as things stand.
func (k *Keeper) forecast(w Want, now time.Time) time.Duration {
	if _, held := k.report.Models[w.Model]; held {
		return orderSlack
	}
	if l, loading := k.loading[w.Model]; loading {
		return l.left(now) + orderSlack
	}
	wait := orderSlack + k.loadingLeft(now)
	for _, model := range k.wantedModels() {
		if model == w.Model {
			break
		}
		wait += k.loadTime(model) + unloadWait
	}
	if !k.fits(w.Model) {
		wait += unloadWait
	}
	if k.fromStore(w.Model) {
		wait = max(wait, k.store.Sub(now))
	}
	return wait + k.loadTime(w.Model)
}

// left is how much longer a load is expected to take.
func (l loadBegun) left(now time.Time) time.Duration { return max(0, l.take-now.Sub(l.at)) }

// loadingLeft is how much longer the loads under way are expected to take.
func (k *Keeper) loadingLeft(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, l := range k.loading {
		sum += l.left(now)
	}
	return sum
}

// LoadWait is how long it takes until a load could begin that nobody has asked for yet.
func (k *Keeper) LoadWait(now time.Time) time.Duration {
	wait := k.loadingLeft(now)
	for _, model := range k.Awaited() {
		wait += k.loadTime(model) + unloadWait
	}
	return wait
}

// Awaited returns the models that requests wait for and that are not loading, the one to
// load first in front.
func (k *Keeper) Awaited() []string {
	return slices.DeleteFunc(k.wantedModels(), func(model string) bool {
		_, loading := k.loading[model]
		return loading
	})
}

// StoreBusy notes that the weight store takes no load for this target for a while. It
// returns the wants that cannot be met in their time any more, so that their callers retry
// when they can be.
func (k *Keeper) StoreBusy(wait time.Duration, now time.Time) []Verdict {
	k.store = now.Add(wait)
	var out []Verdict
	for _, id := range slices.Sorted(maps.Keys(k.wants)) {
		w := k.wants[id]
		if _, held := k.report.Models[w.Model]; held || !k.fromStore(w.Model) {
			continue
		}
		if _, loading := k.loading[w.Model]; loading {
			continue
		}
		if ready := k.forecast(*w, now); now.Add(ready).After(w.Until) {
			delete(k.wants, id)
			out = append(out, Verdict{ID: id, RetryAfter: ready, Reason: "the weight store is busy with other loads"})
		}
	}
	return out
}

// wantedModels returns the models that are waited for, or expected to be asked for again, and
// not held, the one to load first in front: by the worth for each second of its load.
func (k *Keeper) wantedModels() []string {
	worth := map[string]float64{}
	for _, w := range k.wants {
		if _, held := k.report.Models[w.Model]; !held {
			worth[w.Model] += w.Worth
		}
	}
	for model := range k.retries {
		if _, held := k.report.Models[model]; !held && k.loadsForRetries(model) {
			worth[model] += k.retryWorth(model)
		}
	}
	models := slices.Sorted(maps.Keys(worth))
	slices.SortStableFunc(models, func(a, b string) int {
		return cmp.Compare(worth[b]/k.cost(b), worth[a]/k.cost(a))
	})
	return models
}

func (k *Keeper) cost(model string) float64 { return (k.loadTime(model) + orderSlack).Seconds() }

package residency

import (
	"maps"
	"math"
	"slices"
	"time"
)

// nextAdapterOrder returns an order to load an adapter that a request waits for and whose model is
// held, or to unload another adapter if there is no room for it.
func (s *Scheduler) nextAdapterOrder(now time.Time) (Order, bool) {
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		w := s.waiters[id]
		_, held := s.report.Models[w.Model]
		if w.Adapter == "" || !held || s.Holds(w.Model, w.Adapter) || slices.Contains(s.report.LoadingAdapters[w.Model], w.Adapter) {
			continue
		}
		if s.adapterCount() >= s.config.AdapterSlots || !s.hasRoomBeside(s.config.Models[w.Model].AdapterMb, now) {
			return s.evictAdapter(now)
		}
		return s.newOrder(true, w.Model, w.Adapter), true
	}
	return Order{}, false
}

// adapterCount returns the number of adapters that are held or being loaded: both take a slot.
func (s *Scheduler) adapterCount() int {
	n := 0
	for _, list := range s.report.Models {
		n += len(list)
	}
	for _, list := range s.report.LoadingAdapters {
		n += len(list)
	}
	return n
}

// evictAdapter returns an order to unload the least recently wanted adapter. Adapters that a
// request waited for within minAdapterResidency stay, as the request is about to begin, and so
// do those whose unload was refused within adapterUnloadRetryDelay.
func (s *Scheduler) evictAdapter(now time.Time) (Order, bool) {
	var oldest *Order
	var oldestUse time.Time
	for _, model := range slices.Sorted(maps.Keys(s.report.Models)) {
		for _, a := range s.report.Models[model] {
			used := s.lastWanted[model+"/"+a]
			if now.Sub(used) < minAdapterResidency || now.Sub(s.unloadRefusedAt[model+"/"+a]) < adapterUnloadRetryDelay || oldest != nil && !used.Before(oldestUse) {
				continue
			}
			o := s.newOrder(false, model, a)
			oldest, oldestUse = &o, used
		}
	}
	if oldest == nil {
		return Order{}, false
	}
	return *oldest, true
}

// adapterUnloadRetryDelay is how long an adapter is assumed to be in use after its unload was
// refused: about the time of one run.
const adapterUnloadRetryDelay = time.Second

// minAdapterResidency protects an adapter from eviction after a request waited for it, while the
// request is sent to the target.
const minAdapterResidency = 200 * time.Millisecond

// nextModelOrder returns the model load with the highest value, or the unload that makes room for
// it. A planned copy comes first, then models that requests wait for, then any other reserved copy, then a load
// into free room, and last one more copy of a saturated model in place of another model.
func (s *Scheduler) nextModelOrder(now time.Time) (Order, bool) {
	if s.keptFor(now) != "" {
		if o, ok := s.loadReserved(now); ok {
			return o, true
		}
	}
	if o, ok := s.nextPlannedCopy(now); ok {
		return o, true
	}
	for _, model := range s.modelsToLoad() {
		if s.fitsBeside(model, now) {
			return s.newOrder(true, model, ""), true
		}
		if victim, ok := s.victim(model, now); ok {
			o := s.newOrder(false, victim, "")
			o.For, o.FromStore = model, s.fromStore(model)
			return o, true
		}
	}
	if o, ok := s.loadReserved(now); ok {
		return o, true
	}
	if o, ok := s.fillFreeRoom(now); ok {
		return o, true
	}
	return s.addCopy(now)
}

// newOrder returns an order that depends on the target's current sequence.
func (s *Scheduler) newOrder(load bool, model, adapter string) Order {
	return Order{
		Load: load, Model: model, Adapter: adapter, ExpectedSequence: s.report.Sequence, Instance: s.report.Instance, Fencing: s.fencing,
		FromStore: load && adapter == "" && s.fromStore(model), For: model,
	}
}

// usedMb returns the used memory in MB, including models and adapters that are being loaded.
func (s *Scheduler) usedMb() float64 {
	sum := 0.0
	for model, adapters := range s.report.Models {
		m := s.config.Models[model]
		sum += m.WeightsMb + float64(len(adapters)+len(s.report.LoadingAdapters[model]))*m.AdapterMb
	}
	for model := range s.loading {
		if _, held := s.report.Models[model]; !held {
			sum += s.config.Models[model].WeightsMb
		}
	}
	return sum
}

func (s *Scheduler) hasRoom(mb float64) bool { return s.usedMb()+mb <= s.config.CapacityMb }

func (s *Scheduler) fits(model string) bool { return s.hasRoom(s.config.Models[model].WeightsMb) }

// victim returns the held model with the lowest value to keep, if the requests for the wanted
// model have a higher value.
func (s *Scheduler) victim(wanted string, now time.Time) (string, bool) {
	best, lowest := "", math.Inf(1)
	for _, model := range slices.Sorted(maps.Keys(s.report.Models)) {
		if now.Before(s.keepUntil[model]) || s.hasWaiters(model) {
			continue
		}
		if keep := s.keepValue(model); keep < lowest {
			best, lowest = model, keep
		}
	}
	return best, best != "" && lowest < s.waitingValue(wanted)
}

// hasWaiters reports whether a request waits for a model or, if it is held, for an adapter of it.
func (s *Scheduler) hasWaiters(model string) bool {
	for _, w := range s.waiters {
		if w.Model == model {
			return true
		}
	}
	return false
}

// keepValue returns the value of keeping a model at this target: the value of its demand over
// valueHorizon, divided by the square of its copies. Other targets that hold the model take over
// its requests, so its eviction costs only what it adds to their load. Where the plan wants all of its copies, they
// cannot, and it must have less than 1/minValueRatio of the other model's value; a copy that the plan does not want
// has none.
func (s *Scheduler) keepValue(model string) float64 {
	d := s.demand[model]
	switch {
	case d.needed():
		return minValueRatio * s.copyValue(model) * valueHorizon.Seconds()
	case s.surplus(model):
		return 0
	}
	copies := float64(max(1, d.Copies))
	return d.ValuePerSecond * valueHorizon.Seconds() / (copies * copies)
}

// waitingValue returns the value of loading a model: its demand over valueHorizon, the requests
// that wait for it and its expected retries.
func (s *Scheduler) waitingValue(model string) float64 {
	sum := s.demand[model].ValuePerSecond * valueHorizon.Seconds()
	for _, w := range s.waiters {
		if w.Model == model {
			sum += w.Value
		}
	}
	return sum + s.retryValue(model)
}

// fillFreeRoom returns a load, into free room, of the model whose next copy has the highest value.
//
// Load pattern: a target has just started and holds nothing, while others serve the whole load.
// Without it: the target stays empty, as no request waits for a model that other targets hold.
// Rule: free room is filled by demand, without a request that waits.
func (s *Scheduler) fillFreeRoom(now time.Time) (Order, bool) {
	best, highest := "", 0.0
	for _, model := range slices.Sorted(maps.Keys(s.demand)) {
		if _, held := s.report.Models[model]; held || !s.fitsBeside(model, now) {
			continue
		}
		if _, known := s.config.Models[model]; !known || s.demand[model].short() {
			continue // copies that the plan lacks are left to nextPlannedCopy
		}
		copies := float64(s.demand[model].Copies + 1)
		if value := s.demand[model].ValuePerSecond / (copies * copies); value > highest {
			best, highest = model, value
		}
	}
	if best == "" {
		return Order{}, false
	}
	o := s.newOrder(true, best, "")
	o.AddsCopy = s.demand[best].Copies > 0
	return o, true
}

// addCopy returns an order to unload the held model whose eviction costs least, to make room for
// one more copy of a model whose copies are all saturated.
//
// Load pattern: within seconds, demand moves to models that only one target holds.
// Without it: that target's queue exceeds its callers' deadlines, while others hold unused models. No
// request waits for a second copy, since the model is held.
// Rule: add a copy if its gain is at least minGainToLoss times the loss by the eviction.
//
// The gain of a copy is the load that it takes from each of the others: with n+1 instead of n
// copies, load/n - load/(n+1). The loss by an eviction is computed likewise. The margin prevents
// two models from evicting each other in turn.
func (s *Scheduler) addCopy(now time.Time) (Order, bool) {
	if s.report.Saturated {
		return Order{}, false // an unload would wait for the requests of a long queue
	}
	model, gain := s.saturatedModel()
	if model == "" {
		return Order{}, false
	}
	victim, loss := s.cheapestEviction(now)
	if victim == "" || gain < minGainToLoss*loss {
		return Order{}, false
	}
	o := s.newOrder(false, victim, "")
	o.For, o.FromStore, o.AddsCopy = model, s.fromStore(model), true
	return o, true
}

// minGainToLoss is the least ratio of a copy's gain to the loss by the eviction that it needs.
const minGainToLoss = 2

// saturatedModel returns the model with the highest gain of one more copy, among those that this
// target does not hold and whose copies are all saturated.
func (s *Scheduler) saturatedModel() (model string, gain float64) {
	for _, m := range slices.Sorted(maps.Keys(s.demand)) {
		d := s.demand[m]
		_, held := s.report.Models[m]
		_, known := s.config.Models[m]
		if held || !known || d.Copies == 0 || d.Saturated < d.Copies || d.short() {
			continue
		}
		n := float64(d.Copies)
		if g := d.ValuePerSecond / (n * (n + 1)); g > gain {
			model, gain = m, g
		}
	}
	return model, gain
}

// cheapestEviction returns the held model whose eviction from this target costs least.
func (s *Scheduler) cheapestEviction(now time.Time) (model string, loss float64) {
	loss = math.Inf(1)
	for _, m := range slices.Sorted(maps.Keys(s.report.Models)) {
		if now.Before(s.keepUntil[m]) || s.hasWaiters(m) {
			continue
		}
		d := s.demand[m]
		if d.needed() {
			continue
		}
		n := float64(max(1, d.Copies))
		l := d.ValuePerSecond / max(0.5, n*(n-1))
		if d.Saturated > 0 {
			l *= saturatedLossFactor
		}
		if l < loss {
			model, loss = m, l
		}
	}
	return model, loss
}

// saturatedLossFactor multiplies the loss by evicting a model of which some copies are saturated:
// these cannot take over its requests.
const saturatedLossFactor = 4

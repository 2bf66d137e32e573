package residency

import (
	"maps"
	"math"
	"slices"
	"time"
)

// nextAdapterOrder returns an order to load an adapter that a request waits for and whose model is
// held, or to unload another adapter if there is no room for it.
func (k *Keeper) nextAdapterOrder(now time.Time) (Order, bool) {
	for _, id := range slices.Sorted(maps.Keys(k.waiters)) {
		w := k.waiters[id]
		_, held := k.report.Models[w.Model]
		if w.Adapter == "" || !held || k.Holds(w.Model, w.Adapter) || slices.Contains(k.report.Coming[w.Model], w.Adapter) {
			continue
		}
		if k.adapterCount() >= k.engine.AdapterPlaces || !k.hasRoom(k.engine.Models[w.Model].AdapterMb) {
			return k.evictAdapter(now)
		}
		return k.newOrder(true, w.Model, w.Adapter), true
	}
	return Order{}, false
}

// adapterCount returns the number of adapters that are held or being loaded: both take a place.
func (k *Keeper) adapterCount() int {
	n := 0
	for _, list := range k.report.Models {
		n += len(list)
	}
	for _, list := range k.report.Coming {
		n += len(list)
	}
	return n
}

// evictAdapter returns an order to unload the least recently wanted adapter. Adapters that a
// request waited for within minAdapterResidency stay, as the request is about to begin, and so
// do those whose unload was refused within adapterUnloadRetryDelay.
func (k *Keeper) evictAdapter(now time.Time) (Order, bool) {
	var oldest *Order
	var oldestUse time.Time
	for _, model := range slices.Sorted(maps.Keys(k.report.Models)) {
		for _, a := range k.report.Models[model] {
			used := k.lastWanted[model+"/"+a]
			if now.Sub(used) < minAdapterResidency || now.Sub(k.unloadRefusedAt[model+"/"+a]) < adapterUnloadRetryDelay || oldest != nil && !used.Before(oldestUse) {
				continue
			}
			o := k.newOrder(false, model, a)
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
// it. Models that requests wait for come first, then a reserved copy, then a load into free
// room, and last one more copy of a saturated model in place of another model.
func (k *Keeper) nextModelOrder(now time.Time) (Order, bool) {
	for _, model := range k.modelsToLoad() {
		if k.fits(model) {
			return k.newOrder(true, model, ""), true
		}
		if victim, ok := k.victim(model, now); ok {
			o := k.newOrder(false, victim, "")
			o.For, o.Store = model, k.fromStore(model)
			return o, true
		}
	}
	if o, ok := k.loadReserved(now); ok {
		return o, true
	}
	if o, ok := k.fillFreeRoom(); ok {
		return o, true
	}
	return k.addCopy(now)
}

// newOrder returns an order that depends on the target's current sequence.
func (k *Keeper) newOrder(load bool, model, adapter string) Order {
	return Order{
		Load: load, Model: model, Adapter: adapter, After: k.report.Sequence, Instance: k.report.Instance,
		Store: load && adapter == "" && k.fromStore(model), For: model,
	}
}

// usedMb returns the used memory in MB, including models and adapters that are being loaded.
func (k *Keeper) usedMb() float64 {
	sum := 0.0
	for model, adapters := range k.report.Models {
		m := k.engine.Models[model]
		sum += m.WeightsMb + float64(len(adapters)+len(k.report.Coming[model]))*m.AdapterMb
	}
	for model := range k.loading {
		if _, held := k.report.Models[model]; !held {
			sum += k.engine.Models[model].WeightsMb
		}
	}
	return sum
}

func (k *Keeper) hasRoom(mb float64) bool { return k.usedMb()+mb <= k.engine.WeightsMb }

func (k *Keeper) fits(model string) bool { return k.hasRoom(k.engine.Models[model].WeightsMb) }

// victim returns the held model with the lowest value to keep, if the requests for the wanted
// model have a higher value.
func (k *Keeper) victim(wanted string, now time.Time) (string, bool) {
	best, lowest := "", math.Inf(1)
	for _, model := range slices.Sorted(maps.Keys(k.report.Models)) {
		if now.Before(k.keepUntil[model]) || k.hasWaiters(model) {
			continue
		}
		if keep := k.keepValue(model); keep < lowest {
			best, lowest = model, keep
		}
	}
	return best, best != "" && lowest < k.waitingValue(wanted)
}

// hasWaiters reports whether a request waits for a model or, if it is held, for an adapter of it.
func (k *Keeper) hasWaiters(model string) bool {
	for _, w := range k.waiters {
		if w.Model == model {
			return true
		}
	}
	return false
}

// keepValue returns the value of keeping a model at this target: the value of its demand over
// valueHorizon, divided by the square of its copies. Other targets that hold the model take over
// its requests, so its eviction costs only what it adds to their load.
func (k *Keeper) keepValue(model string) float64 {
	d := k.demand[model]
	copies := float64(max(1, d.Copies))
	return d.WorthPerSecond * valueHorizon.Seconds() / (copies * copies)
}

// waitingValue returns the value of loading a model: its demand over valueHorizon, the requests
// that wait for it and its expected retries.
func (k *Keeper) waitingValue(model string) float64 {
	sum := k.demand[model].WorthPerSecond * valueHorizon.Seconds()
	for _, w := range k.waiters {
		if w.Model == model {
			sum += w.Worth
		}
	}
	return sum + k.retryValue(model)
}

// fillFreeRoom returns a load, into free room, of the model whose next copy has the highest value.
//
// Load pattern: a target has just started and holds nothing, while others serve the whole load.
// Without it: the target stays empty, as no request waits for a model that other targets hold.
// Rule: free room is filled by demand, without a request that waits.
func (k *Keeper) fillFreeRoom() (Order, bool) {
	best, highest := "", 0.0
	for _, model := range slices.Sorted(maps.Keys(k.demand)) {
		if _, held := k.report.Models[model]; held || !k.fits(model) {
			continue
		}
		if _, known := k.engine.Models[model]; !known {
			continue
		}
		copies := float64(k.demand[model].Copies + 1)
		if value := k.demand[model].WorthPerSecond / (copies * copies); value > highest {
			best, highest = model, value
		}
	}
	if best == "" {
		return Order{}, false
	}
	o := k.newOrder(true, best, "")
	o.Grow = k.demand[best].Copies > 0
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
func (k *Keeper) addCopy(now time.Time) (Order, bool) {
	if k.report.Pressed {
		return Order{}, false // an unload would wait for the requests of a long queue
	}
	model, gain := k.saturatedModel()
	if model == "" {
		return Order{}, false
	}
	victim, loss := k.cheapestEviction(now)
	if victim == "" || gain < minGainToLoss*loss {
		return Order{}, false
	}
	o := k.newOrder(false, victim, "")
	o.For, o.Store, o.Grow = model, k.fromStore(model), true
	return o, true
}

// minGainToLoss is the least ratio of a copy's gain to the loss by the eviction that it needs.
const minGainToLoss = 2

// saturatedModel returns the model with the highest gain of one more copy, among those that this
// target does not hold and whose copies are all saturated.
func (k *Keeper) saturatedModel() (model string, gain float64) {
	for _, m := range slices.Sorted(maps.Keys(k.demand)) {
		d := k.demand[m]
		_, held := k.report.Models[m]
		_, known := k.engine.Models[m]
		if held || !known || d.Copies == 0 || d.Pressed < d.Copies {
			continue
		}
		n := float64(d.Copies)
		if g := d.WorthPerSecond / (n * (n + 1)); g > gain {
			model, gain = m, g
		}
	}
	return model, gain
}

// cheapestEviction returns the held model whose eviction from this target costs least.
func (k *Keeper) cheapestEviction(now time.Time) (model string, loss float64) {
	loss = math.Inf(1)
	for _, m := range slices.Sorted(maps.Keys(k.report.Models)) {
		if now.Before(k.keepUntil[m]) || k.hasWaiters(m) {
			continue
		}
		d := k.demand[m]
		n := float64(max(1, d.Copies))
		l := d.WorthPerSecond / max(0.5, n*(n-1))
		if d.Pressed > 0 {
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

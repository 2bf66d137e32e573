package residency

import (
	"maps"
	"math"
	"slices"
	"time"
)

// nextAdapter returns an order for an adapter that is waited for and whose model is held.
func (k *Keeper) nextAdapter(now time.Time) (Order, bool) {
	for _, id := range slices.Sorted(maps.Keys(k.wants)) {
		w := k.wants[id]
		_, held := k.report.Models[w.Model]
		if w.Adapter == "" || !held || k.Holds(w.Model, w.Adapter) || slices.Contains(k.report.Coming[w.Model], w.Adapter) {
			continue
		}
		if k.adapters() >= k.engine.AdapterPlaces || !k.room(k.engine.Models[w.Model].AdapterMb) {
			return k.dropAdapter(now)
		}
		return k.order(true, w.Model, w.Adapter), true
	}
	return Order{}, false
}

// adapters counts the adapters held and on their way: both take a place.
func (k *Keeper) adapters() int {
	n := 0
	for _, list := range k.report.Models {
		n += len(list)
	}
	for _, list := range k.report.Coming {
		n += len(list)
	}
	return n
}

// dropAdapter makes room by the adapter that was wanted longest ago. One that a
// request waited for lately stays: its request is about to begin.
func (k *Keeper) dropAdapter(now time.Time) (Order, bool) {
	var oldest *Order
	var when time.Time
	for _, model := range slices.Sorted(maps.Keys(k.report.Models)) {
		for _, a := range k.report.Models[model] {
			used := k.used[model+"/"+a]
			if now.Sub(used) < adapterStay || now.Sub(k.refused[model+"/"+a]) < useCheck || oldest != nil && !used.Before(when) {
				continue
			}
			o := k.order(false, model, a)
			oldest, when = &o, used
		}
	}
	if oldest == nil {
		return Order{}, false
	}
	return *oldest, true
}

// useCheck is how long an adapter whose unload was refused is taken to be in use:
// about the time of one run.
const useCheck = time.Second

// adapterStay is how long an adapter stays after a request waited for it: the
// request's way to the target.
const adapterStay = 200 * time.Millisecond

// nextModel returns the load that is worth most, or the unload that it needs.
func (k *Keeper) nextModel(now time.Time) (Order, bool) {
	for _, model := range k.wantedModels() {
		if k.fits(model) {
			return k.order(true, model, ""), true
		}
		if victim, ok := k.victim(model, now); ok {
			o := k.order(false, victim, "")
			o.For, o.Store = model, k.fromStore(model)
			return o, true
		}
	}
	if o, ok := k.growReserved(now); ok {
		return o, true
	}
	if o, ok := k.fill(); ok {
		return o, true
	}
	return k.grow(now)
}

func (k *Keeper) order(load bool, model, adapter string) Order {
	return Order{
		Load: load, Model: model, Adapter: adapter, After: k.report.Sequence, Instance: k.report.Instance,
		Store: load && adapter == "" && k.fromStore(model), For: model,
	}
}

// used memory in MB, adapters on their way included.
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

func (k *Keeper) room(mb float64) bool { return k.usedMb()+mb <= k.engine.WeightsMb }

func (k *Keeper) fits(model string) bool { return k.room(k.engine.Models[model].WeightsMb) }

// victim returns the held model that is worth least to keep, if what waits for the
// wanted one is worth more.
func (k *Keeper) victim(wanted string, now time.Time) (string, bool) {
	best, least := "", math.Inf(1)
	for _, model := range slices.Sorted(maps.Keys(k.report.Models)) {
		if now.Before(k.stay[model]) || k.waitedFor(model) {
			continue
		}
		if keep := k.keepWorth(model); keep < least {
			best, least = model, keep
		}
	}
	return best, best != "" && least < k.waitingWorth(wanted)
}

// waitedFor reports whether a request waits for an adapter of a held model.
func (k *Keeper) waitedFor(model string) bool {
	for _, w := range k.wants {
		if w.Model == model {
			return true
		}
	}
	return false
}

// keepWorth is what keeping a model here is worth: its callers' worth over the
// horizon, divided by the square of its copies. Where others hold it too, the
// requests go there; only what its absence adds to their load is lost.
func (k *Keeper) keepWorth(model string) float64 {
	d := k.demand[model]
	copies := float64(max(1, d.Copies))
	return d.WorthPerSecond * keepHorizon.Seconds() / (copies * copies)
}

func (k *Keeper) waitingWorth(model string) float64 {
	sum := k.demand[model].WorthPerSecond * keepHorizon.Seconds()
	for _, w := range k.wants {
		if w.Model == model {
			sum += w.Worth
		}
	}
	return sum + k.retryWorth(model)
}

// fill loads, into room that stands empty, the model whose next copy is worth most.
//
// Load pattern: a target has just started and holds nothing, while the others carry
// all. Nobody would ask it for a model that others hold.
func (k *Keeper) fill() (Order, bool) {
	best, most := "", 0.0
	for _, model := range slices.Sorted(maps.Keys(k.demand)) {
		if _, held := k.report.Models[model]; held || !k.fits(model) {
			continue
		}
		if _, known := k.engine.Models[model]; !known {
			continue
		}
		copies := float64(k.demand[model].Copies + 1)
		if worth := k.demand[model].WorthPerSecond / (copies * copies); worth > most {
			best, most = model, worth
		}
	}
	if best == "" {
		return Order{}, false
	}
	o := k.order(true, best, "")
	o.Grow = k.demand[best].Copies > 0
	return o, true
}

// grow makes a copy of a model whose copies are all pressed, in place of the model
// that is worth least here.
//
// Load pattern: demand moves, within seconds, to models that one target holds. That
// target's queue grows past its callers' patience, while others hold what nobody
// asks for any more. Waiting requests never ask for a second copy: their model is held.
//
// What a copy more brings is the share of the load that it takes: from n copies to
// n+1, load/n - load/(n+1) a copy. What a copy less costs is the same the other way
// round. The margin keeps two models from taking each other's place in turn.
func (k *Keeper) grow(now time.Time) (Order, bool) {
	if k.report.Pressed {
		return Order{}, false // an unload would wait for a long queue's runs
	}
	model, gain := k.pressedModel()
	if model == "" {
		return Order{}, false
	}
	victim, loss := k.leastLoss(now)
	if victim == "" || gain < growMargin*loss {
		return Order{}, false
	}
	o := k.order(false, victim, "")
	o.For, o.Store, o.Grow = model, k.fromStore(model), true
	return o, true
}

// growMargin is how many times what it costs a further copy must bring.
const growMargin = 2

// pressedModel returns the model, not held here, whose next copy brings most.
func (k *Keeper) pressedModel() (model string, gain float64) {
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

// leastLoss returns the held model whose absence here costs least.
func (k *Keeper) leastLoss(now time.Time) (model string, loss float64) {
	loss = math.Inf(1)
	for _, m := range slices.Sorted(maps.Keys(k.report.Models)) {
		if now.Before(k.stay[m]) || k.waitedFor(m) {
			continue
		}
		d := k.demand[m]
		n := float64(max(1, d.Copies))
		l := d.WorthPerSecond / max(0.5, n*(n-1))
		if d.Pressed > 0 {
			l *= pressedLoss
		}
		if l < loss {
			model, loss = m, l
		}
	}
	return model, loss
}

// pressedLoss weighs the loss of a copy of a model whose copies have a queue: they
// cannot take its requests.
const pressedLoss = 4

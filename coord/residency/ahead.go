package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Load pattern: most models are asked for once in many seconds. Those that no target has
// a copy of come from the weight store, which takes longer than their callers' target
// latency; it stands idle between such requests, and before the first ones.
//
// Without this file the first request for each such model is late, and in a burst of them
// the store's line makes the last ones too late to be loaded at all. A model that was
// loaded once stays on its target's disk and is back within a second.
//
// So a target at ease loads a model that is near nowhere. Only what is hardly asked for
// makes way, and only what stays at hand here. Copies of busy models never do: loading
// ahead in their place lost more than it gained.

// spareDemand is the worth a second up to which a held model may make way: its next
// request comes in two seconds or later and finds it on the target's disk.
const spareDemand = 0.5

// aheadLoad is a model to load before it is asked for.
type aheadLoad struct {
	model string
	until time.Time // when its load must have begun
}

// AtEase reports whether the target could load a model ahead now.
func (k *Keeper) AtEase(now time.Time) bool {
	if !k.Idle(now) || len(k.wants) > 0 || k.report.Pressed || len(k.engine.Models) == 0 {
		return false
	}
	_, spare := k.spare(now)
	return spare
}

// LoadAhead has a model loaded, unless something else is to be done first, by until.
func (k *Keeper) LoadAhead(model string, until time.Time) { k.ahead = aheadLoad{model, until} }

// nextAhead returns the load of the model to load ahead, or the unload that it needs.
func (k *Keeper) nextAhead(now time.Time) (Order, bool) {
	model := k.ahead.model
	_, held := k.report.Models[model]
	_, known := k.engine.Models[model]
	if !known || held || len(k.wants) > 0 || now.After(k.ahead.until) {
		k.ahead = aheadLoad{}
		return Order{}, false
	}
	if k.fits(model) {
		return k.order(true, model, ""), true
	}
	victim, ok := k.spare(now)
	if !ok {
		return Order{}, false
	}
	o := k.order(false, victim, "")
	o.For, o.Store = model, k.fromStore(model)
	return o, true
}

// spare returns the held model that may make way for one that nobody waits for: the one
// that is asked for least, then the one with fewest copies, which is the rarest by what
// the platform placed, then the one that was wanted longest ago.
func (k *Keeper) spare(now time.Time) (model string, ok bool) {
	var candidates []string
	for _, m := range slices.Sorted(maps.Keys(k.report.Models)) {
		if !now.Before(k.stay[m]) && !k.fromStore(m) && k.demand[m].WorthPerSecond <= spareDemand {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		x, y := k.demand[a], k.demand[b]
		return cmp.Or(
			cmp.Compare(x.WorthPerSecond, y.WorthPerSecond),
			cmp.Compare(x.Copies, y.Copies),
			k.used[a].Compare(k.used[b]),
		)
	}), true
}

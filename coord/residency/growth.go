package residency

import "time"

// Load pattern: one model's only copy is saturated, and another model is asked for more, but
// has copies enough.
// Without it: an agent unloads a model for the saturated one, fills the room with the other,
// gives its permit back, and the next agent does the same: copies are lost and none is made.
// Rule: room that an unload made for a further copy goes to that copy.

// growthLife is how long room is kept for a further copy: an unload waits for its runs.
const growthLife = 8 * time.Second

// growth is a further copy that an unload makes room for.
type growth struct {
	model string
	until time.Time
}

// reserve keeps the room that an accepted unload makes for a further copy.
func (k *Keeper) reserve(o Order, now time.Time) {
	if o.Adapter != "" {
		return
	}
	k.growing = growth{}
	if !o.Load && o.Grow {
		k.growing = growth{o.For, now.Add(growthLife)}
	}
}

// growReserved returns the load of the copy that room was made for.
func (k *Keeper) growReserved(now time.Time) (Order, bool) {
	model := k.growing.model
	_, held := k.report.Models[model]
	if model == "" || held || now.After(k.growing.until) || !k.fits(model) {
		return Order{}, false
	}
	o := k.order(true, model, "")
	o.Grow = k.demand[model].Copies > 0
	return o, true
}

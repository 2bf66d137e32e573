package residency

import "time"

// Load pattern: one model's only copy is saturated; another model has more demand, but enough copies.
// Without it: an agent unloads a model for the saturated one, loads the other one into the room and
// returns its permit, and the next agent does the same: copies are lost and none is added.
// Rule: room that an unload made for one more copy of a model is reserved for that copy.

// reservationTimeout is how long room is reserved for a copy. It covers the unload, which
// waits for the requests that still run on the unloaded model.
const reservationTimeout = 8 * time.Second

// reservation is the room that an unload makes for one more copy of a model.
type reservation struct {
	model string
	until time.Time
}

// reserve records the room that an accepted unload makes for one more copy of a model. Any other
// accepted order on a model ends an earlier reservation.
func (s *Scheduler) reserve(o Order, now time.Time) {
	if o.Adapter != "" {
		return
	}
	s.reserved = reservation{}
	if !o.Load && o.AddsCopy {
		s.reserved = reservation{o.For, now.Add(reservationTimeout)}
	}
}

// loadReserved returns the load order for the reserved room, if the model still fits and is not held.
func (s *Scheduler) loadReserved(now time.Time) (Order, bool) {
	model := s.reserved.model
	_, held := s.report.Models[model]
	if model == "" || held || now.After(s.reserved.until) || !s.fits(model) {
		return Order{}, false
	}
	o := s.newOrder(true, model, "")
	o.AddsCopy = s.demand[model].Copies > 0
	return o, true
}

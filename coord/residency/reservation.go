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
	s.reserved, s.madeRoom = reservation{}, reservation{}
	switch {
	case o.Load:
	case o.AddsCopy:
		s.reserved = reservation{o.For, now.Add(reservationTimeout)}
	default:
		s.madeRoom = reservation{o.For, now.Add(reservationTimeout)}
	}
}

// Load pattern: an agent unloads a model for a planned copy while 30 requests/s for rare models wait at the agents.
// Without it: such a request arrives before the room is free, its model is loaded into the room, and the copy is not
// added: of 18 permits for copies of the busiest model, granted in 60 s, 9 led to a load.
// Rule: under a plan, reserved room is kept against waiting requests for other models, and forecasts count its
// load, so that hosts ask other targets.

// keptFor returns the planned copy's model that room is kept for, or "" if there is none. The room is given up
// once other targets have added the copies that are wanted, and while the copy is refused a permit.
func (s *Scheduler) keptFor(now time.Time) string {
	model := s.reserved.model
	d := s.demand[model]
	if model == "" || now.After(s.reserved.until) || d.Copies >= d.Wanted || now.Before(s.copyDeferred[model]) {
		return ""
	}
	_, held := s.report.Models[model]
	_, loading := s.loading[model]
	if held || loading {
		return ""
	}
	return model
}

// hasRoomBeside reports whether a size in MB fits beside the room that is kept for a copy.
func (s *Scheduler) hasRoomBeside(mb float64, now time.Time) bool {
	return s.hasRoom(mb + s.config.Models[s.keptFor(now)].WeightsMb)
}

// fitsBeside reports whether a model fits beside the room that is kept for a copy of another model.
func (s *Scheduler) fitsBeside(model string, now time.Time) bool {
	if model == s.keptFor(now) {
		return s.fits(model)
	}
	return s.hasRoomBeside(s.config.Models[model].WeightsMb, now)
}

// keptLoadTime returns how long the load into the room that is kept for a copy delays other loads.
func (s *Scheduler) keptLoadTime(now time.Time) time.Duration {
	model := s.keptFor(now)
	switch {
	case model == "":
		return 0
	case !s.fits(model):
		return s.loadTime(model) + typicalUnloadWait
	}
	return s.loadTime(model)
}

// loadReserved returns the load order for the reserved room, if the model still fits and is not held.
func (s *Scheduler) loadReserved(now time.Time) (Order, bool) {
	model := s.reserved.model
	_, held := s.report.Models[model]
	if model == "" || held || now.After(s.reserved.until) || !s.fits(model) {
		return Order{}, false
	}
	o := s.newOrder(true, model, "")
	d := s.demand[model]
	o.AddsCopy, o.Planned = d.Copies > 0 || d.short(), d.short()
	return o, true
}

package residency

import (
	"maps"
	"math"
	"slices"
	"time"

	"cowsliptiller/coord/rendezvous"
)

// Load pattern: within 7 s, 40 requests a second move to a model that one target holds, beside 30 a second for 138
// rare models.
// Without it: copies are added only once all copies are saturated and while no request waits, which is rarely so;
// the queue exceeds the callers' deadlines before.
// Rule: while a model has fewer copies than the leader's plan wants, each target offers to add one, before the models
// that requests wait for. The LoadLimiter grants as many as are missing, and the others go on with their requests.
// The copy replaces one that is not needed, or a model of much less value, so that no two models evict each other.

const (
	// secondChoiceDelay is how long a copy is left to other targets by one that is saturated, whose unload waits
	// for its queue, or that holds another model whose copies are short, which would share its slots. Others add a
	// copy from disk in 2 s, unload included.
	secondChoiceDelay = 2 * time.Second
	// copyRetryDelay is the least delay before a target offers again to add a copy that it was refused.
	copyRetryDelay = 500 * time.Millisecond
	// minValueRatio is how many times the value of a needed copy another one must have to replace it. With a
	// ratio of 1 or less two models could evict each other in turn.
	minValueRatio = 4
	// surplusFactor times the wanted copies of a model may stay.
	surplusFactor = 2
)

// DropPlan removes the numbers of wanted copies until the next call of SetDemand.
func (s *Scheduler) DropPlan() {
	demand := make(map[string]Demand, len(s.demand))
	for model, d := range s.demand {
		d.Wanted = 0
		demand[model] = d
	}
	s.SetDemand(demand)
}

// DeferCopy records that a planned copy of a model was refused a permit, for at least copyRetryDelay.
func (s *Scheduler) DeferCopy(model string, wait time.Duration, now time.Time) {
	s.copyDeferred[model] = now.Add(max(wait, copyRetryDelay))
}

// nextPlannedCopy returns the order that adds a planned copy, or makes room for it. While room was made for a
// model that a request waits for, none is added, as it would take that room.
func (s *Scheduler) nextPlannedCopy(now time.Time) (Order, bool) {
	model := s.copyToAdd(now)
	if model == "" || s.hasRoomForWaiting(now) {
		return Order{}, false
	}
	if s.fitsBeside(model, now) {
		o := s.newOrder(true, model, "")
		o.AddsCopy, o.Planned = true, true
		return o, true
	}
	victim, ok := s.plannedVictim(model, now)
	if !ok {
		return Order{}, false
	}
	o := s.newOrder(false, victim, "")
	o.For, o.FromStore, o.AddsCopy, o.Planned = model, s.fromStore(model), true, true
	return o, true
}

// hasRoomForWaiting reports whether an unload has made room for a model that requests still wait for.
func (s *Scheduler) hasRoomForWaiting(now time.Time) bool {
	r := s.madeRoom
	return r.model != "" && !now.After(r.until) && slices.Contains(s.modelsToLoad(), r.model)
}

// copyToAdd returns the model whose missing copies have the highest value, among those that this target may add a
// copy of now; "" if there is none. Where room is kept for a copy, only that one is considered.
func (s *Scheduler) copyToAdd(now time.Time) string {
	s.noteShortages(now)
	kept := s.keptFor(now)
	secondChoice := s.report.Saturated || s.holdsShortModel()
	best, highest := "", 0.0
	for _, model := range slices.Sorted(maps.Keys(s.shortSince)) {
		if kept != "" && model != kept || !s.mayAddCopy(model, now) {
			continue
		}
		if secondChoice && now.Sub(s.shortSince[model]) < secondChoiceDelay {
			continue
		}
		d := s.demand[model]
		if value := d.ValuePerSecond * float64(d.Wanted-d.Copies) / float64(d.Wanted); value > highest {
			best, highest = model, value
		}
	}
	return best
}

// mayAddCopy reports whether this target could hold a model, does not, and was not refused a permit just now.
func (s *Scheduler) mayAddCopy(model string, now time.Time) bool {
	_, known := s.config.Models[model]
	_, held := s.report.Models[model]
	return known && !held && !now.Before(s.copyDeferred[model])
}

// noteShortages records since when each model has fewer copies than wanted, once for each new demand.
func (s *Scheduler) noteShortages(now time.Time) {
	if !s.demandChanged {
		return
	}
	s.demandChanged = false
	for model, d := range s.demand {
		if _, noted := s.shortSince[model]; d.short() && !noted {
			s.shortSince[model] = now
		}
	}
	maps.DeleteFunc(s.shortSince, func(model string, _ time.Time) bool { return !s.demand[model].short() })
	maps.DeleteFunc(s.copyDeferred, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// short reports whether the plan wants more copies than there are. Where it wants one copy, that is loaded when a
// request waits for it: rare models are more than the targets can hold at a time.
func (d Demand) short() bool { return d.Wanted > 1 && d.Copies < d.Wanted }

// needed reports whether the plan wants all copies of a model that has several.
func (d Demand) needed() bool { return d.Wanted > 1 && d.Copies <= d.Wanted }

func (s *Scheduler) holdsShortModel() bool {
	for model := range s.report.Models { // any order: one match decides
		if s.demand[model].short() {
			return true
		}
	}
	return false
}

// plannedVictim returns the held model that a planned copy of another model replaces: first one with more copies
// than wanted, then the one of least value, if that is less than a quarter of the copy's.
func (s *Scheduler) plannedVictim(wanted string, now time.Time) (string, bool) {
	d := s.demand[wanted]
	limit := d.ValuePerSecond / float64(d.Wanted) / minValueRatio
	best, lowest := "", math.Inf(1)
	for _, model := range slices.Sorted(maps.Keys(s.report.Models)) {
		if now.Before(s.keepUntil[model]) || s.hasWaiters(model) {
			continue
		}
		value := s.copyValue(model)
		if s.surplus(model) {
			value = -1 / (1 + value)
		}
		if value < limit && value < lowest {
			best, lowest = model, value
		}
	}
	return best, best != ""
}

// copyValue returns the value per second of the requests that one copy of a model serves.
func (s *Scheduler) copyValue(model string) float64 {
	d := s.demand[model]
	return d.ValuePerSecond / float64(max(1, d.Copies))
}

// surplus reports whether this target's copy of a model is one of more than twice as many as the plan wants: the
// work that is offered varies by that much, and a copy that was given up takes long to load again. Of the targets that
// hold the model, a hash selects about as many as there are copies too many: all decide at once, by the same
// demand, and would evict all copies otherwise.
func (s *Scheduler) surplus(model string) bool {
	d := s.demand[model]
	most := surplusFactor * d.Wanted
	if d.Wanted == 0 || d.Copies <= most || d.Saturated >= d.Copies {
		return false
	}
	share := float64(d.Copies-most) / float64(d.Copies)
	return float64(rendezvous.Weight(s.report.Instance, model)) < share*math.MaxUint64
}

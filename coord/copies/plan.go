package copies

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slotShare is the share of its slots that a copy may use. From 0.8 on a target counts as saturated; the
	// rest is for variation of the load and for the other models of the target.
	slotShare = 0.6
	// promptShare is the share of its time that a copy may spend on prefill, which delays the events of all
	// streams of the target. At 0.4 a target that takes 2.5 times as long for some time spends all of it on prefill.
	promptShare = 0.25
	// maxTargetShare is the largest share of the targets that may be wanted for one model.
	maxTargetShare = 0.5
	// shrinkDelay is how long less work must be offered until fewer copies are wanted. Demand varies in waves,
	// and a copy that was given up takes 10 s to load again from the weight store.
	shrinkDelay = 5 * time.Second
	// warmUp is the minimum age of a plan before it wants any copies: a new leader has not heard of all hosts.
	warmUp = time.Second
	// pollInterval is the usual time between two polls of a host: its first poll reports work from before the plan.
	pollInterval = 250 * time.Millisecond
	// negligibleWork is the work per second below which a model has no demand.
	negligibleWork = 1e-4
)

// Fleet is the targets that can run a model.
type Fleet struct {
	Targets int     // that accept requests
	Slots   float64 // of one target, as a mean; 0: not known
}

// Plan holds the number of copies wanted of each model. It is not safe for concurrent use.
type Plan struct {
	since  time.Time
	models map[string]*entry
}

type entry struct {
	rate   workRate
	wanted int
	// While less than wanted is needed: since when, and the most that was needed since.
	lowSince time.Time
	lowPeak  int
}

// Change is a change of the number of copies wanted of a model.
type Change struct {
	Model      string
	Wanted     int
	Before     int
	SlotsPerS  float64 // offered work: slot seconds per second
	PromptPerS float64 // prefill seconds per second
}

// NewPlan returns a plan without models that covers the time from now on.
func NewPlan(now time.Time) *Plan { return &Plan{since: now, models: map[string]*entry{}} }

// Record adds work that callers offered for a model.
func (p *Plan) Record(model string, w Work, now time.Time) {
	w = w.Valid()
	if w == (Work{}) {
		return
	}
	e := p.models[model]
	if e == nil {
		e = &entry{rate: workRate{at: now}}
		p.models[model] = e
	}
	e.rate.add(w, now)
}

// Update plans anew and returns the changes, ordered by model. fleet returns the targets that can run a model.
func (p *Plan) Update(fleet func(model string) Fleet, now time.Time) []Change {
	if now.Sub(p.since) < warmUp {
		return nil
	}
	var changes []Change
	for _, model := range slices.Sorted(maps.Keys(p.models)) {
		e := p.models[model]
		offered := p.offered(e, now)
		before := e.wanted
		e.follow(needed(offered, fleet(model)), now)
		if e.wanted != before {
			changes = append(changes, Change{model, e.wanted, before, offered.SlotSeconds, offered.PromptSeconds})
		}
		if e.wanted == 0 && offered == (Work{}) {
			delete(p.models, model)
		}
	}
	return changes
}

// Wanted returns the number of copies wanted of a model, as of the last Update; 0: it is not planned.
func (p *Plan) Wanted(model string) int {
	if e := p.models[model]; e != nil {
		return e.wanted
	}
	return 0
}

// offered returns the work offered per second. While the plan is young relative to workTimeConstant, the rate is
// scaled up by the share of the window that it covers.
func (p *Plan) offered(e *entry, now time.Time) Work {
	e.rate.decay(now)
	if e.rate.perSecond.SlotSeconds+e.rate.perSecond.PromptSeconds < negligibleWork {
		return Work{}
	}
	covered := 1 - math.Exp(-(now.Sub(p.since)+pollInterval).Seconds()/workTimeConstant.Seconds())
	return Work{e.rate.perSecond.SlotSeconds / covered, e.rate.perSecond.PromptSeconds / covered}
}

// needed returns the number of copies that serve the offered work: at least 1 where there is work, at most
// maxTargetShare of the targets.
func needed(offered Work, f Fleet) int {
	if offered == (Work{}) || f.Targets <= 0 {
		return 0
	}
	copies := offered.PromptSeconds / promptShare
	if f.Slots > 0 {
		copies = max(copies, offered.SlotSeconds/(f.Slots*slotShare))
	}
	most := max(1, int(maxTargetShare*float64(f.Targets)))
	return int(min(max(1, math.Ceil(copies)), float64(most)))
}

// follow takes over a larger number at once, and a smaller one once it has sufficed for shrinkDelay.
func (e *entry) follow(copies int, now time.Time) {
	if copies >= e.wanted {
		e.wanted, e.lowSince, e.lowPeak = copies, time.Time{}, 0
		return
	}
	if e.lowSince.IsZero() {
		e.lowSince = now
	}
	e.lowPeak = max(e.lowPeak, copies)
	if now.Sub(e.lowSince) >= shrinkDelay {
		e.wanted, e.lowSince, e.lowPeak = e.lowPeak, time.Time{}, 0
	}
}

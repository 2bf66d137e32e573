package standings

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Use is the demand for each model over the fleet, as worth a second that ages.
//
// Load pattern: a few models take most requests, many take few, and which ones
// changes during the day. Agents that see only their own target would drop the
// last copy of a model that other entry hosts' callers ask for.
type Use struct {
	began time.Time
	rates map[string]*rate
}

type rate struct {
	perSecond float64
	at        time.Time
}

// useMemory is the time over which demand is averaged: as long as a load from the
// store takes, so that a model which has just become busy is seen before its next
// copy could be there.
const useMemory = 6 * time.Second

// forgotten is the rate below which a model is as good as not asked for.
const forgotten = 1e-4

// NewUse returns a record without demand that is complete from now on.
func NewUse(now time.Time) *Use { return &Use{began: now, rates: map[string]*rate{}} }

// age is for how long demand has been recorded.
func (u *Use) age(now time.Time) time.Duration { return now.Sub(u.began) }

// Add notes worth that was asked for.
func (u *Use) Add(model string, worth float64, now time.Time) {
	r := u.rates[model]
	if r == nil {
		r = &rate{at: now}
		u.rates[model] = r
	}
	r.age(now)
	r.perSecond += worth / useMemory.Seconds()
}

func (r *rate) age(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.perSecond *= math.Exp(-elapsed.Seconds() / useMemory.Seconds())
		r.at = now
	}
}

// PerSecond returns the worth a second that is asked of a model. An average that is
// younger than its memory has seen only a part of it, and is scaled up by that part:
// a board that has just begun would else take every model for rarely used.
func (u *Use) PerSecond(model string, now time.Time) float64 {
	r := u.rates[model]
	if r == nil {
		return 0
	}
	r.age(now)
	seen := max(u.age(now), demandKnownAfter)
	return r.perSecond / (1 - math.Exp(-seen.Seconds()/useMemory.Seconds()))
}

// Models returns the models that are asked for, in order of name.
func (u *Use) Models(now time.Time) []string {
	maps.DeleteFunc(u.rates, func(_ string, r *rate) bool {
		r.age(now)
		return r.perSecond < forgotten
	})
	return slices.Sorted(maps.Keys(u.rates))
}

package targetstatus

import (
	"maps"
	"math"
	"slices"
	"time"
)

// RateMeter measures the fleet's demand for each model as an exponentially decaying rate, in
// requests a second weighted by priority rank. It is not safe for concurrent use.
//
// Load pattern: a few models get most requests, and which ones changes during the day.
// Without it: agents see only their own target and unload the last copy of a model that callers
// of other entry hosts request.
// Rule: the leader sums the demand over all entry hosts, and agents decide by that.
type RateMeter struct {
	since time.Time
	rates map[string]*rate
}

type rate struct {
	perSecond float64
	at        time.Time
}

// demandTimeConstant is the time constant of the decay. It equals the duration of a load from
// the weight store, so that a rise in demand is visible before another copy could be loaded.
const demandTimeConstant = 6 * time.Second

// minRate is the rate per second below which a model counts as not requested.
const minRate = 1e-4

// NewRateMeter returns an empty record that covers the time from now on.
func NewRateMeter(now time.Time) *RateMeter { return &RateMeter{since: now, rates: map[string]*rate{}} }

// age returns for how long demand has been recorded.
func (m *RateMeter) age(now time.Time) time.Duration { return now.Sub(m.since) }

// Add records requests for a model; value is their number, weighted by priority rank.
func (m *RateMeter) Add(model string, value float64, now time.Time) {
	r := m.rates[model]
	if r == nil {
		r = &rate{at: now}
		m.rates[model] = r
	}
	r.decay(now)
	r.perSecond += value / demandTimeConstant.Seconds()
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.perSecond *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		r.at = now
	}
}

// PerSecond returns the demand for a model, in weighted requests a second. While the record is
// young relative to demandTimeConstant, the average is scaled up by the share of the window
// that it covers; otherwise a new leader would consider every model rarely used.
func (m *RateMeter) PerSecond(model string, now time.Time) float64 {
	r := m.rates[model]
	if r == nil {
		return 0
	}
	r.decay(now)
	observed := max(m.age(now), demandWarmUp)
	return r.perSecond / (1 - math.Exp(-observed.Seconds()/demandTimeConstant.Seconds()))
}

// Models returns the models with demand, ordered by name.
func (m *RateMeter) Models(now time.Time) []string {
	maps.DeleteFunc(m.rates, func(_ string, r *rate) bool {
		r.decay(now)
		return r.perSecond < minRate
	})
	return slices.Sorted(maps.Keys(m.rates))
}

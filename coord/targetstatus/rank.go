package targetstatus

import (
	"cmp"
	"slices"
	"time"

	"cowsliptiller/coord/rendezvous"
)

// Load pattern: many entry hosts receive requests for rare models at the same time.
// Without it: hosts choose independently, load one model on several targets and evict others.
// If all prefer targets with a local copy, one target loads seven models in turn while others
// are idle; the last caller waited 10 s for a model with a target latency of 3 s.
// Rule: load on the target that would hold the model first, counting the loads before it, and how
// much longer its first request runs there than on the fastest target.
//
// All hosts derive the same order from the same reports: the forecasts are compared in steps,
// and within a step by a hash of model and target (rendezvous hashing), so that a target that
// joins or leaves moves only its own models.

// LoadTimes is a model to load, and how long its load takes.
type LoadTimes struct {
	Model     string
	FromStore time.Duration // from the weight store
	FromDisk  time.Duration // from the target's own copy
	MeanRun   time.Duration // mean run time of a request at usual speed; 0: not known
}

const (
	// forecastStep is the resolution at which forecasts are compared, so that hosts with
	// reports of different age still agree on the first target for most models.
	forecastStep = 500 * time.Millisecond
	// saturationPenalty is added for a saturated target: the model to be evicted there is
	// unloaded only after its requests have ended.
	saturationPenalty = time.Second
)

// RankForLoad returns the targets that could load a model, ordered by when they would hold it,
// the earliest first. The list is not changed.
func RankForLoad(list []Status, a LoadTimes) []Status {
	out := slices.Clone(list)
	fastest := fastestPercent(list)
	slices.SortFunc(out, func(x, y Status) int {
		return cmp.Or(
			cmp.Compare(a.forecast(x, fastest)/forecastStep, a.forecast(y, fastest)/forecastStep),
			cmp.Compare(rendezvous.Weight(y.Address, a.Model), rendezvous.Weight(x.Address, a.Model)),
		)
	})
	return out
}

// fastestPercent returns the lowest speed percentage of a list; 0 if none is known.
func fastestPercent(list []Status) int {
	fastest := 0
	for _, s := range list {
		if s.SpeedPercent > 0 && (fastest == 0 || s.SpeedPercent < fastest) {
			fastest = s.SpeedPercent
		}
	}
	return fastest
}

// slower returns how much longer a request runs at a target than at the fastest one.
func (a LoadTimes) slower(s Status, fastest int) time.Duration {
	if s.SpeedPercent == 0 {
		return 0
	}
	return a.MeanRun * time.Duration(s.SpeedPercent-fastest) / 100
}

// forecast estimates how long it takes until a target would hold the model, plus how much longer a
// request runs there than at the fastest one. A load that is under way or due does not get slower by it:
// a second load elsewhere would take the store's bandwidth.
func (a LoadTimes) forecast(s Status, fastest int) time.Duration {
	if s.Loading == a.Model {
		return 0 // no other target would be enough earlier to justify a second load
	}
	wait := s.LoadWait
	if slices.Contains(s.PendingModels, a.Model) {
		return wait // LoadWait includes its load
	}
	wait += a.slower(s, fastest)
	if s.Saturated() {
		wait += saturationPenalty
	}
	if slices.Contains(s.CachedModels, a.Model) {
		return wait + a.FromDisk
	}
	return wait + a.FromStore
}

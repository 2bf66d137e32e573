package routing

import "time"

// Load pattern: one target answers slowly (thermal throttling, other load on its host).
// Without it: its queue looks as short as the others', so it gets its full share and those
// requests miss their deadlines.
// Rule: compare a target's service time with the mean for the same name, as times differ
// by model. The mean adapts more slowly, so that one slow target does not look normal.

// Weights of one sample in the moving means, and the bound of one sample's ratio.
const (
	slowdownWeight = 0.2
	setMeanWeight  = 0.05
	maxSlowdown    = 16.0
)

// updateSlowdown records the service time of a served request. It needs at least two
// targets to compare.
func (r *Router) updateSlowdown(t *target, name string, took time.Duration) {
	set := r.sets[name]
	if set == nil || took <= 0 || len(set.all) < 2 {
		return
	}
	s := took.Seconds()
	if set.meanServiceTime == 0 {
		set.meanServiceTime = s
	}
	ratio := min(s/set.meanServiceTime, maxSlowdown)
	t.slowdown += slowdownWeight * (ratio - t.slowdown)
	// Samples are capped at twice the mean, to limit the effect of outliers.
	set.meanServiceTime += setMeanWeight * (min(s, 2*set.meanServiceTime) - set.meanServiceTime)
}

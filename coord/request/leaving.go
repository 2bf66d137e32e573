package request

import "time"

// Load pattern: entry hosts are restarted in turn while callers wait for rare models.
//
// Without this file a host that was told to stop ended all waits at once and sent their
// callers elsewhere: to begin again at the end of another host's line, with one return
// less, and often to the host that was stopped next. Of 40 calls for rare models on a day
// of restarts 17 were refused so, each with most of its patience left.
//
// The rule: a host that stops lets calls wait as long as their answers can still end
// before it does.

const (
	// runsBeforeStop usual runs are left for an answer that begins when a wait ends: few
	// streams are longer.
	runsBeforeStop = 3
	// leastBeforeStop is left in any case: the way to the target and the first token.
	leastBeforeStop = 500 * time.Millisecond
)

// WaitsBeforeStop returns for how long calls may wait for their model at a host that must
// have answered all within left, where a run usually takes a time; 0: not known.
func WaitsBeforeStop(left, run time.Duration) time.Duration {
	return max(0, left-max(leastBeforeStop, runsBeforeStop*run))
}

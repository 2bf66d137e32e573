package placement

import (
	"math"
	"time"
)

// Load pattern: most models are requested rarely, in short sessions.
// Without it: a single short time constant loses models that are used daily, and a single long
// one keeps a model loaded for hours after its session.
// Rule: keep a fast and a slow decaying count and use the higher rate; the fast one dominates
// within a session, the slow one between sessions.
const (
	fastTimeConstant = 40 * time.Second
	slowTimeConstant = 2 * time.Hour
	// minObservationTime is the shortest period over which a rate is computed: one
	// request in the first second does not mean one request a second.
	minObservationTime = 10 * time.Minute
	// maxGaps is how many gaps between the starts of sessions are kept.
	maxGaps = 8
	// minGaps is how many gaps are needed to detect a regular pattern.
	minGaps = 4
	// maxGapVariation is the largest coefficient of variation (standard deviation
	// divided by mean) of the gaps of a regular pattern. For independent arrivals it is 1.
	maxGapVariation = 0.15
	// sessionGap is the idle time after which a request starts a new session.
	sessionGap = 30 * time.Second
)

// arrivals estimates a model's request rate and detects sessions at regular intervals.
type arrivals struct {
	fast, slow   float64 // exponentially decayed request counts
	decayedAt    time.Time
	sessionStart time.Time // start of the latest session
	lastArrival  time.Time
	gaps         [maxGaps]time.Duration
	gapCount     int // gaps recorded so far, including overwritten ones
}

func (a *arrivals) decay(now time.Time) {
	if dt := now.Sub(a.decayedAt); dt > 0 && !a.decayedAt.IsZero() {
		a.fast *= math.Exp(-dt.Seconds() / fastTimeConstant.Seconds())
		a.slow *= math.Exp(-dt.Seconds() / slowTimeConstant.Seconds())
	}
	a.decayedAt = now
}

func (a *arrivals) record(n float64, now time.Time) {
	if n <= 0 {
		return
	}
	a.decay(now)
	a.fast += n
	a.slow += n
	switch {
	case a.lastArrival.IsZero():
		a.sessionStart = now
	case now.Sub(a.lastArrival) > sessionGap:
		a.gaps[a.gapCount%maxGaps] = now.Sub(a.sessionStart)
		a.gapCount++
		a.sessionStart = now
	}
	a.lastArrival = now
}

// rate returns the expected number of requests per second, learned since startedAt. A planner
// that has run for less than slowTimeConstant has seen only part of the period that the slow
// count covers. Without a correction for that, a new leader would treat every model as unused.
func (a *arrivals) rate(startedAt, now time.Time) float64 {
	a.decay(now)
	observed := max(minObservationTime, now.Sub(startedAt))
	span := slowTimeConstant.Seconds() * (1 - math.Exp(-observed.Seconds()/slowTimeConstant.Seconds()))
	return max(a.fast/fastTimeConstant.Seconds(), a.slow/span)
}

// nextSession returns when the next session is due, and whether sessions are regular enough to
// predict it.
func (a *arrivals) nextSession() (time.Time, bool) {
	n := min(a.gapCount, maxGaps)
	if n < minGaps {
		return time.Time{}, false
	}
	var sum, squares float64
	for _, g := range a.gaps[:n] {
		sum += g.Seconds()
		squares += g.Seconds() * g.Seconds()
	}
	mean := sum / float64(n)
	deviation := math.Sqrt(max(0, squares/float64(n)-mean*mean))
	if deviation > maxGapVariation*mean {
		return time.Time{}, false
	}
	return a.sessionStart.Add(time.Duration(mean * float64(time.Second))), true
}

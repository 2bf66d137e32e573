package placement

import (
	"math"
	"time"
)

// Arrivals estimate how often a model is asked for, and whether it is asked for
// at regular times.
//
// Pattern of load: most models are asked for rarely, in short sessions. One time
// constant alone errs: a short one forgets the daily regulars, a long one keeps
// a model warm for hours after its session. So two are kept: within a session
// the fast one says "soon again", between sessions the slow one gives the base.
const (
	fastArrivals = 40 * time.Second
	slowArrivals = 2 * time.Hour
	// leastLearned is the least time that a rate is learned from: one request
	// in the first second is no rate of one a second.
	leastLearned = 10 * time.Minute
	// keptGaps is how many gaps between sessions are kept to find a pattern.
	keptGaps = 8
	// leastGaps is how many gaps must agree before a pattern is believed.
	leastGaps = 4
	// regularSpread is the largest ratio of deviation to mean of a regular
	// pattern. Independent arrivals have a ratio of 1.
	regularSpread = 0.15
	// sessionGap separates sessions: a request within it belongs to the last.
	sessionGap = 30 * time.Second
)

type arrivals struct {
	fast, slow float64 // decayed counts
	at         time.Time
	session    time.Time // start of the last session
	last       time.Time // last arrival
	gaps       [keptGaps]time.Duration
	seen       int // sessions seen after the first
}

func (a *arrivals) decay(now time.Time) {
	if dt := now.Sub(a.at); dt > 0 && !a.at.IsZero() {
		a.fast *= math.Exp(-dt.Seconds() / fastArrivals.Seconds())
		a.slow *= math.Exp(-dt.Seconds() / slowArrivals.Seconds())
	}
	a.at = now
}

func (a *arrivals) note(n float64, now time.Time) {
	if n <= 0 {
		return
	}
	a.decay(now)
	a.fast += n
	a.slow += n
	switch {
	case a.last.IsZero():
		a.session = now
	case now.Sub(a.last) > sessionGap:
		a.gaps[a.seen%keptGaps] = now.Sub(a.session)
		a.seen++
		a.session = now
	}
	a.last = now
}

// perSecond is the expected number of requests in the next second, as learned since
// began. A planner that has learned for less than slowArrivals has seen only a part
// of what the slow count stands for; without regard to that, a new leader would
// take every model for unused.
func (a *arrivals) perSecond(began, now time.Time) float64 {
	a.decay(now)
	learned := max(leastLearned, now.Sub(began))
	span := slowArrivals.Seconds() * (1 - math.Exp(-learned.Seconds()/slowArrivals.Seconds()))
	return max(a.fast/fastArrivals.Seconds(), a.slow/span)
}

// next returns when the next session is due, if sessions come regularly.
func (a *arrivals) next() (time.Time, bool) {
	n := min(a.seen, keptGaps)
	if n < leastGaps {
		return time.Time{}, false
	}
	var sum, squares float64
	for _, g := range a.gaps[:n] {
		sum += g.Seconds()
		squares += g.Seconds() * g.Seconds()
	}
	mean := sum / float64(n)
	deviation := math.Sqrt(max(0, squares/float64(n)-mean*mean))
	if deviation > regularSpread*mean {
		return time.Time{}, false
	}
	return a.session.Add(time.Duration(mean * float64(time.Second))), true
}

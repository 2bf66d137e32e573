package target

import "time"

// Load pattern: an engine that batches continuously answers each request a little later
// with each one that joins, until it has no memory or compute left and every first
// token is late; a target slows down for a while (a load beside it, heat, a neighbour).
//
// Without a limit that follows latency, the configured number is either too low for
// short work or lets a slowed target take as much as a healthy one.
//
// The rule: additive increase by one for each limit's worth of first tokens that came
// in time while the limit was reached; decrease by a tenth when the recent first token
// takes over slowFactor times the best of the recent past. Never under 1 nor over
// twice the configured number, which is the owner's measurement of full speed.

const (
	slowFactor    = 2.0
	limitDecrease = 0.9
	limitMost     = 2
	bestMemory    = 30 * time.Second // after which the best is measured anew
)

// Limit is the number of requests that run at once.
type Limit struct {
	current float64
	most    float64
	recent  time.Duration // moving mean
	best    time.Duration
	bestAt  time.Time
	cutAt   time.Time
}

// NewLimit returns a limit that starts at the configured number.
func NewLimit(concurrency int) *Limit {
	return &Limit{current: float64(max(1, concurrency)), most: float64(limitMost * max(1, concurrency))}
}

// Current returns the limit, at least 1.
func (l *Limit) Current() int { return int(l.current) }

// Observe takes a time to the first token while running requests ran.
func (l *Limit) Observe(first time.Duration, running int, now time.Time) {
	if l.recent == 0 {
		l.recent = first
	}
	l.recent += (first - l.recent) / 8
	if l.best == 0 || l.recent < l.best || now.Sub(l.bestAt) > bestMemory {
		l.best, l.bestAt = l.recent, now
	}
	if float64(l.recent) > slowFactor*float64(l.best) {
		l.decrease(now)
		return
	}
	if running >= l.Current() {
		l.current = min(l.most, l.current+1/l.current)
	}
}

// decrease cuts at most once for each recent latency: the effect of a cut shows
// only after the requests that were let in before it.
func (l *Limit) decrease(now time.Time) {
	if now.Sub(l.cutAt) < l.recent {
		return
	}
	l.cutAt = now
	l.current = max(1, l.current*limitDecrease)
}

package target

import "time"

// Load pattern: an engine that batches continuously answers each request a little later
// with each one that joins, until it has no memory or compute left and every first
// token is late; a target slows down for a while (heat, a neighbour on its host).
//
// Without a limit that follows latency, a slowed target takes as much as a healthy one
// and all that it runs is late together.
//
// The rule: decrease by a tenth when the recent time to the first token is over
// slowFactor times the best of the recent past, at most once for each such time;
// else increase by one for each limit's worth of first tokens while the limit is
// reached. The configured number is the most: it is what the target runs at once at
// full speed, so above it each request only slows the others. A quarter is the least:
// a target that is slow whatever runs would else be cut to nothing, and its queue with
// it. The best is measured anew after bestMemory, so that a lasting change of the
// target counts as normal by then.

const (
	slowFactor    = 2.0
	limitDecrease = 0.9
	limitLeast    = 0.25
	bestMemory    = 30 * time.Second
	firstWeight   = 16 // of one first token in the moving mean: 1/firstWeight
)

// Limit is the number of requests that run at once.
type Limit struct {
	current float64
	least   float64
	most    float64
	recent  time.Duration // moving mean
	best    time.Duration
	bestAt  time.Time
	cutAt   time.Time
}

// NewLimit returns a limit that starts at the configured number.
func NewLimit(concurrency int) *Limit {
	most := float64(max(1, concurrency))
	return &Limit{current: most, least: max(1, most*limitLeast), most: most}
}

// Current returns the limit, at least 1.
func (l *Limit) Current() int { return int(l.current) }

// Observe takes a time to the first token while running requests ran.
func (l *Limit) Observe(first time.Duration, running int, now time.Time) {
	if l.recent == 0 {
		l.recent = first
	}
	l.recent += (first - l.recent) / firstWeight
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
	l.current = max(l.least, l.current*limitDecrease)
}

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
// reached. The configured number is the least: it is the owner's measurement of full
// speed, and the time to the first token varies with the prompt and with what of it
// is cached by more than slowFactor, so that a lower floor closed targets that were
// well (docs/design/order.md has the figures). Half as much again is the most. The
// best is measured anew after bestMemory, so that a lasting change of the target
// counts as normal by then.

const (
	slowFactor    = 2.0
	limitDecrease = 0.9
	limitMost     = 1.5
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
	n := float64(max(1, concurrency))
	return &Limit{current: n, least: n, most: limitMost * n}
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

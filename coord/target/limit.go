package target

import "time"

// Load pattern: continuous batching, where each added request delays the others up to
// saturation; a target that slows down for a while (heat, other load on its host).
// Without it: a slowed target takes as many requests as a healthy one, and all are late.
// Rule: additive increase and multiplicative decrease on the time to first token (TTFT),
// between the configured concurrency and maxLimitFactor times it.

const (
	slowFactor     = 2.0              // a target is slow if its recent TTFT is over slowFactor times its best
	decreaseFactor = 0.9              // the limit decreases by a tenth
	maxLimitFactor = 1.5              // upper bound, as a multiple of the configured concurrency
	bestTTFTWindow = 30 * time.Second // the best TTFT is measured again after this time
	ewmaWindow     = 16               // a sample has the weight 1/ewmaWindow in the moving means
)

// ConcurrencyLimit is the number of requests that may run at once, adapted to their TTFT.
//
// The lower bound is the configured concurrency, which the owner measured as full speed.
// TTFT varies by more than slowFactor with the prompt length and the cached part of the
// prompt, so a smaller lower bound stopped healthy targets from taking requests (figures in
// docs/design/order.md). The best TTFT is measured again after bestTTFTWindow, so that a
// lasting change of the target becomes the new baseline.
type ConcurrencyLimit struct {
	current     float64
	minimum     float64
	maximum     float64
	recentTTFT  time.Duration // exponentially weighted moving mean
	bestTTFT    time.Duration
	bestAt      time.Time
	decreasedAt time.Time
}

// NewConcurrencyLimit returns a limit that starts at the configured concurrency.
func NewConcurrencyLimit(concurrency int) *ConcurrencyLimit {
	n := float64(max(1, concurrency))
	return &ConcurrencyLimit{current: n, minimum: n, maximum: maxLimitFactor * n}
}

// Current returns the limit, at least 1.
func (l *ConcurrencyLimit) Current() int { return int(l.current) }

// Observe records the TTFT of a request; running is the number of running requests. It
// decreases the limit if the recent TTFT is too high. Otherwise, while the limit is
// reached, it adds one for each Current() observations.
func (l *ConcurrencyLimit) Observe(ttft time.Duration, running int, now time.Time) {
	if l.recentTTFT == 0 {
		l.recentTTFT = ttft
	}
	l.recentTTFT += (ttft - l.recentTTFT) / ewmaWindow
	if l.bestTTFT == 0 || l.recentTTFT < l.bestTTFT || now.Sub(l.bestAt) > bestTTFTWindow {
		l.bestTTFT, l.bestAt = l.recentTTFT, now
	}
	if float64(l.recentTTFT) > slowFactor*float64(l.bestTTFT) {
		l.decrease(now)
		return
	}
	if running >= l.Current() {
		l.current = min(l.maximum, l.current+1/l.current)
	}
}

// decrease lowers the limit at most once per recent TTFT: its effect becomes visible
// only after the requests that were started before it.
func (l *ConcurrencyLimit) decrease(now time.Time) {
	if now.Sub(l.decreasedAt) < l.recentTTFT {
		return
	}
	l.decreasedAt = now
	l.current = max(l.minimum, l.current*decreaseFactor)
}

package request

import "time"

// Load pattern: one target fails or hangs while its peers are well.
//
// Without a circuit, each call that is routed there spends a part of its deadline and
// of the retry budget. Without a gradual return, a target that is back gets its whole
// share at once, with cold caches, and fails again.
//
// Thresholds: five failures in a row open the circuit, which one bad request cannot
// do; it stays open for a second, then twice as long each time up to thirty; on return
// the target gets a tenth of its calls, and a tenth more with each success.

const (
	circuitFailures = 5
	circuitFirst    = time.Second
	circuitMost     = 30 * time.Second
	circuitStep     = 0.1
)

// Circuit says what share of calls a target gets. The zero value is closed.
type Circuit struct {
	failures int
	openFor  time.Duration
	until    time.Time
	share    float64 // while returning; 0 with openFor 0 means closed
}

// Share returns the part of its usual calls that the target gets now, 0 to 1.
func (c *Circuit) Share(now time.Time) float64 {
	switch {
	case c.openFor == 0:
		return 1
	case now.Before(c.until):
		return 0
	default:
		return max(c.share, circuitStep)
	}
}

// Success notes an answered call.
func (c *Circuit) Success(now time.Time) {
	c.failures = 0
	if c.openFor == 0 || now.Before(c.until) {
		return
	}
	c.share = max(c.share, circuitStep) + circuitStep
	if c.share >= 1 {
		c.openFor, c.share = 0, 0
	}
}

// Failure notes a call that the target did not answer. Refusals are answers.
func (c *Circuit) Failure(now time.Time) {
	if c.openFor > 0 && now.Before(c.until) {
		return // a call from before it opened
	}
	c.failures++
	if c.openFor == 0 && c.failures < circuitFailures {
		return
	}
	c.openFor = min(circuitMost, max(circuitFirst, 2*c.openFor))
	c.until = now.Add(c.openFor)
	c.failures, c.share = 0, 0
}

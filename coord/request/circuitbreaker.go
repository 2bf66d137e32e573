package request

import "time"

// Load pattern: one target fails or hangs while the others are healthy.
// Without it: calls routed there waste part of their deadline and of the retry budget, and a
// target that recovers gets its full share at once, with cold caches, and fails again.
// Rule: consecutive failures open the circuit, for a time that doubles with each opening;
// then the target's share of calls grows by a tenth with each success.

const (
	// failureThreshold is the number of consecutive failures that opens the circuit. A
	// single bad request cannot reach it.
	failureThreshold = 5
	minOpenTime      = time.Second
	maxOpenTime      = 30 * time.Second
	recoveryStep     = 0.1
)

// CircuitBreaker determines the share of its usual calls that a target gets. The zero value
// is closed.
type CircuitBreaker struct {
	failures      int
	openFor       time.Duration
	openUntil     time.Time
	recoveryShare float64 // while half-open; the circuit is closed if openFor is 0
}

// TrafficShare returns the share of its usual calls that the target gets now, from 0 to 1.
func (c *CircuitBreaker) TrafficShare(now time.Time) float64 {
	switch {
	case c.openFor == 0:
		return 1
	case now.Before(c.openUntil):
		return 0
	default:
		return max(c.recoveryShare, recoveryStep)
	}
}

// RecordSuccess records a call that the target answered.
func (c *CircuitBreaker) RecordSuccess(now time.Time) {
	c.failures = 0
	if c.openFor == 0 || now.Before(c.openUntil) {
		return
	}
	c.recoveryShare = max(c.recoveryShare, recoveryStep) + recoveryStep
	if c.recoveryShare >= 1 {
		c.openFor, c.recoveryShare = 0, 0
	}
}

// RecordFailure records a call that the target did not answer. Refusals are answers.
func (c *CircuitBreaker) RecordFailure(now time.Time) {
	if c.openFor > 0 && now.Before(c.openUntil) {
		return // the call was sent before the circuit opened
	}
	c.failures++
	if c.openFor == 0 && c.failures < failureThreshold {
		return
	}
	c.openFor = min(maxOpenTime, max(minOpenTime, 2*c.openFor))
	c.openUntil = now.Add(c.openFor)
	c.failures, c.recoveryShare = 0, 0
}

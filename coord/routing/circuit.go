package routing

import "time"

// circuit is the circuit breaker of one target.
//
// Load pattern: a target or the connection to it fails.
// Without it: each request sent there is lost or waits for its timeout.
// Rule: consecutive failures open the circuit, for twice as long after each failed
// recovery. One probe, then a share that grows with each served request, close it: the
// full share at once would overload a target that restarted with cold caches.
type circuit struct {
	failures     int
	openDuration time.Duration
	openedAt     time.Time
	openUntil    time.Time
	stepsLeft    int // served requests still needed for the full share; 0: closed
	probing      bool
}

// failed records the failure of a request that started at startedAt. Failures of requests
// that started before the circuit opened are ignored: when a connection stops responding,
// all requests on it fail together a second later, and counting each as a failed recovery
// would double the open time up to its maximum although the target is healthy.
func (c *circuit) failed(s Settings, startedAt, now time.Time) {
	if c.stepsLeft > 0 && startedAt.Before(c.openedAt) {
		return
	}
	c.probing = false
	c.failures++
	if c.stepsLeft == 0 && c.failures < s.FailuresToOpen {
		return
	}
	c.openDuration = min(max(2*c.openDuration, s.OpenDuration), s.MaxOpenDuration)
	c.openedAt = now
	c.openUntil = now.Add(c.openDuration)
	c.stepsLeft = s.RecoverySteps
}

// served records a served request, which is one step towards the full share.
func (c *circuit) served() {
	c.probing = false
	c.failures = 0
	if c.stepsLeft > 0 {
		c.stepsLeft--
	}
	if c.stepsLeft == 0 {
		c.openDuration = 0
	}
}

// released records the end of a request that was neither served nor failed, and
// allows the next probe.
func (c *circuit) released() {
	c.probing = false
}

// allowedShare returns the fraction of its usual requests that the target may get now.
func (c *circuit) allowedShare(s Settings, now time.Time) float64 {
	switch {
	case now.Before(c.openUntil) || c.probing:
		return 0
	case c.stepsLeft == 0:
		return 1
	}
	return 1 - float64(c.stepsLeft)/float64(s.RecoverySteps+1)
}

// started marks the request as the probe if the circuit has had no served request since
// it opened.
func (c *circuit) started(s Settings) {
	if c.stepsLeft == s.RecoverySteps {
		c.probing = true
	}
}

package routing

import "time"

// circuit keeps requests from a target that fails.
//
// Pattern of load: a target dies, or the way to it; each request sent there is
// lost or waits for its timeout. After a few failures in a row the circuit opens
// for a while, doubling with each return that fails. It closes by steps: one
// probe, then a share that grows with each served request, because a target that
// came back cold is pushed over again by its full share at once.
type circuit struct {
	failures int
	openFor  time.Duration
	opened   time.Time
	until    time.Time
	left     int // served requests still needed for the full share
	probing  bool
}

// failed takes a failure of a request that began at begun. One that began before
// the circuit opened tells nothing new: where a connection has gone silent, all that
// ran on it fails together a second later, and each taken for a failed return would
// double the time, up to the most, though the target is well.
func (c *circuit) failed(s Settings, begun, now time.Time) {
	if c.left > 0 && begun.Before(c.opened) {
		return
	}
	c.probing = false
	c.failures++
	if c.left == 0 && c.failures < s.FailuresToOpen {
		return
	}
	c.openFor = min(max(2*c.openFor, s.OpenFor), s.MaxOpenFor)
	c.opened = now
	c.until = now.Add(c.openFor)
	c.left = s.ReturnSteps
}

func (c *circuit) served() {
	c.probing = false
	c.failures = 0
	if c.left > 0 {
		c.left--
	}
	if c.left == 0 {
		c.openFor = 0
	}
}

func (c *circuit) released() {
	c.probing = false
}

// share is the part of its load that the target may get now.
func (c *circuit) share(s Settings, now time.Time) float64 {
	switch {
	case now.Before(c.until) || c.probing:
		return 0
	case c.left == 0:
		return 1
	}
	return 1 - float64(c.left)/float64(s.ReturnSteps+1)
}

// started marks the one probe of a circuit that has just ended its open time.
func (c *circuit) started(s Settings) {
	if c.left == s.ReturnSteps {
		c.probing = true
	}
}

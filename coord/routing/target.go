package routing

import "time"

// target is this entry host's state for one target.
type target struct {
	name string
	view TargetView
	// This host's own requests in flight, and how many of them were started after
	// the last report and so are not included in it.
	inFlight           int
	startedSinceReport int
	report             LoadReport
	reportedAt         time.Time
	// slowdown is the moving mean of the ratio of this target's service time to the
	// mean of all targets of the same name; 1 is average.
	slowdown float64
	// speed is the announced factor of the time of work; 0: not announced. See speed.go.
	speed      float64
	burstUntil time.Time // until when the target counts as being in a burst
	circuit    circuit
	// leavingUntil is how long a refusal as leaving overrides a stale view.
	leavingUntil time.Time
}

// limit returns how many requests the target runs concurrently at full speed.
func (t *target) limit() float64 {
	switch {
	case t.report.Limit > 0:
		return float64(t.report.Limit)
	case t.view.Concurrency > 0:
		return float64(t.view.Concurrency)
	}
	return 1
}

// load returns the target's load as a fraction of its limit: the last reported load,
// which decays linearly to 0 over reportMaxAge, plus the requests that this host has
// started since, and at least this host's own requests in flight.
func (t *target) load(now time.Time) float64 {
	reported := float64(t.report.Running + t.report.Queued)
	if age := now.Sub(t.reportedAt); age >= reportMaxAge {
		reported = 0
	} else if age > 0 {
		reported *= 1 - age.Seconds()/reportMaxAge.Seconds()
	}
	return max(reported+float64(t.startedSinceReport), float64(t.inFlight)) / t.limit()
}

// reportMaxAge is the age from which a reported load is ignored: a few service times,
// after which the requests it counted have ended.
const reportMaxAge = 2 * time.Second

func (t *target) leaving(now time.Time) bool {
	return t.view.Leaving || now.Before(t.leavingUntil)
}

// slowdownFactor returns the factor that multiplies the target's estimated wait. A
// slowdown up to the threshold is treated as noise and gives 1.
func (t *target) slowdownFactor(threshold float64) float64 {
	if t.slowdown <= threshold {
		return 1
	}
	return t.slowdown
}

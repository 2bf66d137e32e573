package routing

import "time"

// target is what this entry host knows of one target.
type target struct {
	name string
	view TargetView
	// own requests in flight, and how many of them were started after the
	// report: the report cannot count these.
	inFlight int
	since    int
	report   Report
	reported time.Time
	// pace is the recent ratio of this target's service time to the mean of
	// its peers for the same name; 1: as fast as they are.
	pace    float64
	circuit circuit
	// leavingUntil holds a refusal "leaving" against a view that lags.
	leavingUntil time.Time
}

// limit is how many requests the target runs at once at full speed.
func (t *target) limit() float64 {
	switch {
	case t.report.Limit > 0:
		return float64(t.report.Limit)
	case t.view.Concurrency > 0:
		return float64(t.view.Concurrency)
	}
	return 1
}

// load is the share of its limit that the target carries: what it last reported,
// which ages, and what this host has sent since. Without a report, or with an old
// one, this host's own requests are all it knows.
func (t *target) load(now time.Time) float64 {
	carried := float64(t.report.Running + t.report.Queued)
	if age := now.Sub(t.reported); age >= reportLife {
		carried = 0
	} else if age > 0 {
		carried *= 1 - age.Seconds()/reportLife.Seconds()
	}
	return max(carried+float64(t.since), float64(t.inFlight)) / t.limit()
}

// reportLife is after how long a report says nothing any more: a few service
// times, after which what it counted has ended.
const reportLife = 2 * time.Second

func (t *target) leaving(now time.Time) bool {
	return t.view.Leaving || now.Before(t.leavingUntil)
}

// slow targets cost their pace; small differences are noise and cost nothing.
func (t *target) slowness(ratio float64) float64 {
	if t.pace <= ratio {
		return 1
	}
	return t.pace
}

package request

import (
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: all targets of a destination are at capacity, and entry hosts have more calls.
// Without it: hosts send everything to the agents, which refuse it, and the retries add load.
// Rule: a window limits the calls in flight, per class and with additive increase and
// multiplicative decrease: plus one per full window of answers, minus a fifth after a
// refusal for overload, at most once per mean service time.
//
// Each class has its own window, so that agents see calls of all classes and order them.
// With one window, long must-finish calls fill it, and short interactive calls wait at the
// entry host, where no agent can prioritize them. Adjusting the window by the queue
// lengths that come with answers, before agents refuse, was tried and served fewer calls: a
// target's queue holds the requests of all its models, so each model backed off because
// of the others (docs/design/admission.md).
const (
	initialWindow        = 8
	windowDecreaseFactor = 0.8
	maxWindow            = 4096
)

// destination is the state that an entry host keeps for one model or service.
type destination struct {
	queues   [fair.NumBands]classQueue
	readyAt  time.Time // forecast: no replica is ready before this time
	possible bool
}

// classQueue holds the queued calls of one destination and band, and limits how many are
// in flight.
type classQueue struct {
	queue        fair.Queue
	inFlight     int
	window       float64
	lastDecrease time.Time
	stats        fair.ServiceStats
}

func newDestination() *destination {
	d := &destination{possible: true}
	for b := range d.queues {
		d.queues[b].window = initialWindow
	}
	return d
}

func (d *destination) classQueue(p Pending) *classQueue { return &d.queues[p.Class.Band] }

func (q *classQueue) hasRoom() bool { return q.inFlight < int(q.window) }

// increaseWindow is the additive increase after an answer. It applies only while the
// window is what limits the calls in flight.
func (q *classQueue) increaseWindow() {
	if !q.hasRoom() {
		q.window = min(maxWindow, q.window+1/q.window)
	}
}

// decreaseWindow is the multiplicative decrease after a refusal for overload, at most once
// per mean service time.
func (q *classQueue) decreaseWindow(b fair.Band, now time.Time) {
	if now.Sub(q.lastDecrease) < q.stats.Mean(b) {
		return
	}
	q.lastDecrease = now
	q.window = max(1, q.window*windowDecreaseFactor)
}

// estimateWait returns how long a new call is expected to wait: the time that the tokens
// ahead of it in fair-share order take at the measured rate.
func (q *classQueue) estimateWait(p Pending) time.Duration {
	if q.queue.Len() == 0 && q.hasRoom() {
		return 0
	}
	return q.stats.DrainTime(q.queue.TokensAhead(p.Workspace, p.Weight, p.Class.Band))
}

// expiry returns the latest time at which a queued call can start and still be expected to
// meet its deadline.
func (d *destination) expiry(p Pending) time.Time {
	return p.Deadline.Add(-d.classQueue(p).stats.Margin(p.Class.Band, p.Deadline.Sub(p.Arrived)))
}

// checkFeasible returns an error when a new call is not expected to meet its deadline:
// fault.NoCapacity when no target can hold the destination or no replica can be ready in
// time, otherwise fault.Overloaded.
func (d *destination) checkFeasible(p Pending, now time.Time) error {
	if !d.possible {
		return noTargetError(p.Destination)
	}
	start := now
	kind := fault.Overloaded
	if d.readyAt.After(now) {
		start, kind = d.readyAt, fault.NoCapacity
	}
	if late := start.Sub(d.expiry(p)); late > 0 {
		return fault.NewRetryAfter(kind, max(late, minRetryAfter), "%s cannot answer before the deadline", p.Destination)
	}
	if late := start.Add(d.classQueue(p).estimateWait(p)).Sub(d.expiry(p)); late > 0 {
		return fault.NewRetryAfter(fault.Overloaded, max(late, minRetryAfter), "the wait for %s would pass the deadline", p.Destination)
	}
	return nil
}

func noTargetError(destination string) error {
	return fault.New(fault.NoCapacity, "no target can hold %s", destination)
}

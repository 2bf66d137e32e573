package request

import (
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: the targets of a destination are full, and each entry host has more.
//
// Without a window, entry hosts push all they have to the agents, which refuse it, and
// the retries load them further. With one window for all classes, long work that has
// to finish takes it up and a person's short call waits at the entry host, where no
// agent sees that it should go first.
//
// Thresholds: each class has its own window of calls under way, so that the agents
// order classes against each other. It grows by one for each full window of answers
// and a refusal for overload cuts it by a fifth, at most once for each service time
// (additive increase, multiplicative decrease). Moving it by the queue lengths that
// come with answers, before agents refuse, was tried and served fewer: a target's
// queue is that of all its models, and each of them gave way to the others
// (docs/design/admission.md).
const (
	startWindow  = 8
	windowShrink = 0.8
	maxWindow    = 4096
)

// destination is one model or service as an entry host sees it.
type destination struct {
	lanes    [fair.Bands]lane
	ready    time.Time // forecast: no replica before this time
	possible bool
}

// lane is the waiting and running calls of one class of urgency.
type lane struct {
	queue    fair.Queue
	underWay int
	window   float64
	shrunk   time.Time
	speed    fair.Speed
}

func newDestination() *destination {
	d := &destination{possible: true}
	for b := range d.lanes {
		d.lanes[b].window = startWindow
	}
	return d
}

func (d *destination) lane(p Pending) *lane { return &d.lanes[p.Class.Band] }

func (l *lane) open() bool { return l.underWay < int(l.window) }

// grow opens the window where it is what holds calls back.
func (l *lane) grow() {
	if !l.open() {
		l.window = min(maxWindow, l.window+1/l.window)
	}
}

// overload cuts the window after a refusal.
func (l *lane) overload(b fair.Band, now time.Time) {
	if now.Sub(l.shrunk) < l.speed.Mean(b) {
		return
	}
	l.shrunk = now
	l.window = max(1, l.window*windowShrink)
}

// wait forecasts how long a new call waits here: what goes before it by fair share,
// at the measured speed.
func (l *lane) wait(p Pending) time.Duration {
	if l.queue.Len() == 0 && l.open() {
		return 0
	}
	return l.speed.Drain(l.queue.Ahead(p.Workspace, p.Weight, p.Class.Band))
}

// expiry is when a waiting call can no longer be answered in time.
func (d *destination) expiry(p Pending) time.Time {
	return p.Deadline.Add(-d.lane(p).speed.Margin(p.Class.Band, p.Deadline.Sub(p.Arrived)))
}

// check refuses a call whose wait is forecast to pass its deadline.
func (d *destination) check(p Pending, now time.Time) error {
	if !d.possible {
		return noTarget(p.Destination)
	}
	start := now
	kind := fault.Overloaded
	if d.ready.After(now) {
		start, kind = d.ready, fault.NoCapacity
	}
	if late := start.Sub(d.expiry(p)); late > 0 {
		return fault.After(kind, max(late, leastRetry), "%s cannot answer in time", p.Destination)
	}
	if late := start.Add(d.lane(p).wait(p)).Sub(d.expiry(p)); late > 0 {
		return fault.After(fault.Overloaded, max(late, leastRetry), "the wait for %s would pass the deadline", p.Destination)
	}
	return nil
}

func noTarget(destination string) error {
	return fault.New(fault.NoCapacity, "no target can hold %s", destination)
}

package placement

import "time"

// More replicas. Pattern of load: a model that stays busy. A short peak is over
// before a second replica is loaded, so only load that lasts SustainFor adds
// one, and one at a time; removal asks for a much lower load that lasts as long. It
// has its turn in the queue of loads, and room is made for it as for a cold start:
// memory that is full of idle models must not keep a busy one on one target.

// leastPart is the part of its targets' places that a model must fill itself to
// count as busy: one that runs little beside a busy one needs no replica more,
// unless its own requests wait.
const leastPart = 0.25

// noteBusy keeps since when m's replicas are busy, and since when one less would do.
func (p *Planner) noteBusy(m *model, now time.Time) {
	running, all, own := 0, 0, 0
	n := 0
	for _, r := range m.replicas {
		if r.serving() {
			running += r.target.running + r.target.queued
			own += r.running
			all += r.target.spec.Concurrency
			n++
		}
	}
	m.wantsMore = false
	if n == 0 {
		m.busyFrom, m.spareFrom = time.Time{}, time.Time{}
		return
	}
	busy := float64(running) > p.settings.BusyShare*float64(all) &&
		(float64(own) >= leastPart*float64(all) || m.waiting > 0)
	spare := n > 1 && float64(running) < p.settings.SpareShare*float64(all)*float64(n-1)/float64(n)
	m.busyFrom = since(m.busyFrom, busy, now)
	m.spareFrom = since(m.spareFrom, spare, now)
	m.wantsMore = busy && now.Sub(m.busyFrom) >= p.settings.SustainFor
}

// since keeps the start of an unbroken condition.
func since(from time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case from.IsZero():
		return now
	}
	return from
}

package placement

import "time"

// More replicas. Pattern of load: a model that stays busy. A short peak is over
// before a second replica is loaded, so only load that lasts SustainFor adds
// one, and one at a time; removal asks for a much lower load that lasts as long.

// planBusy adds a replica to models whose replicas stay busy.
func (p *Planner) planBusy(now time.Time) []Decision {
	var out []Decision
	p.each(func(m *model) {
		p.noteBusy(m, now)
		if m.busyFrom.IsZero() || now.Sub(m.busyFrom) < p.settings.SustainFor || m.loadingCount() > 0 {
			return
		}
		if p.inFlight() >= p.store.slots || !p.store.mayStart(now) {
			return
		}
		t, ok := p.place(m, true, now)
		if !ok {
			return
		}
		m.busyFrom = time.Time{}
		out = append(out, p.propose(Decision{m.spec.Name, t.spec.Name, true, ReasonBusy}, now))
	})
	return out
}

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
	if n == 0 {
		m.busyFrom, m.spareFrom = time.Time{}, time.Time{}
		return
	}
	// The targets are full, and the model itself has at least its part in it.
	busy := float64(running) > p.settings.BusyShare*float64(all) && own > 0
	spare := n > 1 && float64(running) < p.settings.SpareShare*float64(all)*float64(n-1)/float64(n)
	m.busyFrom = since(m.busyFrom, busy, now)
	m.spareFrom = since(m.spareFrom, spare, now)
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

package placement

import "time"

// Loading ahead. Pattern of load: sessions that come at regular times, such as
// an hourly batch of summaries. Only a measured pattern counts, and only room
// that nobody uses: nothing is evicted, no request waits for a load, and the
// store keeps half its number free for what comes unexpected. One load a round.
const (
	// aheadMargin is how long before the due time the model is to be ready:
	// the spread that a pattern may have, at a period of a few minutes.
	aheadMargin = 10 * time.Second
)

func (p *Planner) planAhead(now time.Time) []Decision {
	if !p.settings.LoadAhead || p.inFlight() > p.store.slots/2 || !p.store.mayStart(now) {
		return nil
	}
	for _, name := range p.modelNames {
		m := p.models[name]
		if !m.known || len(m.replicas) > 0 {
			continue
		}
		due, ok := m.arrivals.next()
		if !ok || now.After(due) {
			continue
		}
		lead := time.Duration(float64(m.spec.LoadTime)*p.store.slowdown) + aheadMargin
		if now.Before(due.Add(-lead)) {
			continue
		}
		if t, _ := p.place(m, 0, now); t != nil {
			return []Decision{p.propose(Decision{name, t.spec.Name, true, ReasonAhead}, now)}
		}
	}
	return nil
}

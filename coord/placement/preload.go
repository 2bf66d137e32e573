package placement

import "time"

// Load pattern: sessions at regular intervals, such as an hourly batch of summaries.
// Without it: the first request of each session waits for a cold start.
// Rule: preload a model only on a measured regular pattern and into free memory, without evictions;
// only if no request waits for a load and at most half the store's slots are in use, so that
// the rest stay free for unexpected requests; one load a round.
const (
	// preloadMargin is how long before the next session is due the model should be ready. It
	// covers the variation that a pattern with a period of a few minutes can have.
	preloadMargin = 10 * time.Second
)

// planPreload preloads at most one model whose next session is due soon.
func (p *Planner) planPreload(now time.Time) []Decision {
	if !p.settings.Preload || p.storeLoadsInFlight() > p.store.slots/2 || !p.store.canStart(now) {
		return nil
	}
	for _, name := range p.modelNames {
		m := p.models[name]
		if !m.configured || len(m.replicas) > 0 {
			continue
		}
		due, ok := m.arrivals.nextSession()
		if !ok || now.After(due) {
			continue
		}
		lead := time.Duration(float64(m.spec.LoadTime)*p.store.slowdown) + preloadMargin
		if now.Before(due.Add(-lead)) {
			continue
		}
		if t, _ := p.selectTarget(m, 0, now); t != nil {
			return []Decision{p.propose(Decision{name, t.spec.Name, true, ReasonPreload}, now)}
		}
	}
	return nil
}

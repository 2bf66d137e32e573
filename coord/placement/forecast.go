package placement

import (
	"slices"
	"time"
)

// Forecast says when the model can serve, as of the last round. An entry host
// refuses a request whose deadline is sooner, at once and truly, in place of
// letting it wait in vain. A model that nobody waits for is forecast as if its
// load began now.
func (p *Planner) Forecast(name string, now time.Time) Forecast {
	m := p.models[name]
	if m == nil || !m.known {
		return Forecast{}
	}
	if m.servingCount() > 0 {
		return Forecast{Possible: true}
	}
	if left, ok := p.remaining(m, now); ok {
		return Forecast{Possible: true, ReadyIn: left}
	}
	if m.waiting > 0 && m.forecast.Possible {
		return m.forecast
	}
	// Between a model's first demand and the round that follows there is no
	// forecast yet; its zero value would have every waiting request refused. The
	// same holds before the first round after a configuration, when the targets
	// have not been looked at.
	if !p.reach.measured {
		return Forecast{Possible: true, ReadyIn: m.spec.LoadTime}
	}
	return p.coldForecast(m, 0)
}

// remaining is the time left of the load of m that ends first. A load that takes
// longer than expected is expected to take a quarter of its time so far again.
func (p *Planner) remaining(m *model, now time.Time) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, r := range m.replicas {
		if !r.loading() {
			continue
		}
		spent := now.Sub(r.since)
		left := max(p.loadTime(m, r.target)-spent, spent/4)
		if !found || left < best {
			best, found = left, true
		}
	}
	return best, found
}

// forecast estimates when each model that still waits will be ready, by playing
// the queue through the store's slots.
func (p *Planner) forecast(left []*model, now time.Time) {
	if len(left) == 0 {
		return
	}
	slots := p.slotTimes(now)
	for i, m := range left {
		at := slots[0]
		start := max(at, p.store.nextStart().Sub(now))
		f := p.coldForecast(m, start)
		m.forecast = f
		if !f.Possible {
			continue
		}
		// Only the load holds the slot. The wait for memory passes while others
		// load: counted in the slot, it would add up along the queue, and work
		// with minutes to spare would be refused in its first second.
		slots[0] = start + p.slotTime(m)
		slices.Sort(slots)
		if i >= maxForecast {
			break
		}
	}
	for _, m := range left[min(len(left), maxForecast+1):] {
		m.forecast = p.coldForecast(m, slots[0])
	}
}

// slotTime is how long a load of m is expected to hold a slot of the store.
func (p *Planner) slotTime(m *model) time.Duration {
	if m.keptOn != nil {
		return p.loadTime(m, m.keptOn)
	}
	return time.Duration(float64(m.spec.LoadTime) * p.store.slowdown)
}

// maxForecast is how many queued models are played through one by one.
const maxForecast = 64

// slotTimes returns, in order, in how long each of the store's slots is free.
func (p *Planner) slotTimes(now time.Time) []time.Duration {
	slots := make([]time.Duration, 0, p.store.slots)
	p.each(func(m *model) {
		for _, r := range m.replicas {
			if r.loading() && (r.fetched || !r.seen) && len(slots) < p.store.slots {
				spent := now.Sub(r.since)
				slots = append(slots, max(p.loadTime(m, r.target)-spent, spent/4))
			}
		}
	})
	for len(slots) < p.store.slots {
		slots = append(slots, 0)
	}
	slices.Sort(slots)
	return slots
}

// reach is how many bytes a model may have to fit a target, as of the last round.
type reach struct {
	measured bool
	now      int64 // without any change
	soon     int64 // after evictions that are allowed now
	ever     int64 // on an empty target
}

// measureReach finds the reach over all usable targets.
func (p *Planner) measureReach(now time.Time) {
	p.reach = reach{measured: true}
	for _, t := range p.targets {
		if !t.usable() {
			continue
		}
		soon := t.free()
		for _, r := range t.replicas {
			if r.state == stateUnload || p.mayEvict(r, now) {
				soon += r.bytes
			}
		}
		p.reach.now = max(p.reach.now, t.free())
		p.reach.soon = max(p.reach.soon, soon)
		p.reach.ever = max(p.reach.ever, t.spec.WeightBytes())
	}
}

// evictionTime is how long an eviction takes before its memory can be loaded:
// two rounds and the engine's unloading.
const evictionTime = time.Second

// coldForecast is the forecast of a load that starts after wait. Where all memory
// is needed at present it is expected to be free after a minimum stay and the
// patience of the model that waits: work that can wait that long is not turned away. It is impossible only where no target
// could ever hold the model.
func (p *Planner) coldForecast(m *model, wait time.Duration) Forecast {
	load := time.Duration(float64(m.spec.LoadTime) * p.store.slowdown)
	switch {
	case m.keptOn != nil:
		return Forecast{Possible: true, ReadyIn: wait + p.loadTime(m, m.keptOn)}
	case m.spec.Bytes <= p.reach.now:
		return Forecast{Possible: true, ReadyIn: wait + load}
	case m.spec.Bytes <= p.reach.soon:
		return Forecast{Possible: true, ReadyIn: wait + load + evictionTime}
	case m.spec.Bytes <= p.reach.ever:
		return Forecast{Possible: true, ReadyIn: wait + load + p.settings.MinStay + p.settings.Patience}
	}
	return Forecast{}
}

package placement

import (
	"slices"
	"time"
)

// Forecast returns when the model can serve requests, as of the last round. An entry host rejects
// a request whose deadline is earlier immediately instead of letting it wait until it expires. For
// a model without waiting requests the forecast assumes that its load starts now.
func (p *Planner) Forecast(name string, now time.Time) Forecast {
	m := p.models[name]
	if m == nil || !m.configured {
		return Forecast{}
	}
	if m.servingCount() > 0 {
		return Forecast{Possible: true}
	}
	if left, ok := p.remainingLoadTime(m, now); ok {
		return Forecast{Possible: true, ReadyIn: left}
	}
	if m.waiting > 0 && m.forecast.Possible {
		return m.forecast
	}
	// There is no forecast between a model's first demand and the next round, nor
	// between a configuration and the next round, when no target has been examined.
	// The zero value would make entry hosts reject every waiting request.
	if !p.largestFit.measured {
		return Forecast{Possible: true, ReadyIn: m.spec.LoadTime}
	}
	return p.coldStartForecast(m, 0)
}

// remainingLoadTime returns the remaining time of the load of m that ends first, and whether one is
// in progress. A load that exceeds its expected time is assumed to take another quarter of its
// elapsed time.
func (p *Planner) remainingLoadTime(m *model, now time.Time) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, r := range m.replicas {
		if !r.loading() {
			continue
		}
		elapsed := now.Sub(r.trackedSince)
		left := max(p.expectedLoadTime(m, r.target)-elapsed, elapsed/4)
		if !found || left < best {
			best, found = left, true
		}
	}
	return best, found
}

// updateForecasts estimates when each model that still waits will be ready, by simulating the
// queue on the store's slots.
func (p *Planner) updateForecasts(pending []*model, now time.Time) {
	if len(pending) == 0 {
		return
	}
	slots := p.slotWaits(now)
	for i, m := range pending {
		at := slots[0]
		start := max(at, p.store.nextStart().Sub(now))
		f := p.coldStartForecast(m, start)
		m.forecast = f
		if !f.Possible {
			continue
		}
		// Only the load occupies the slot; waiting for memory overlaps with other loads.
		// If it counted as slot time, the waits would add up along the queue, and requests
		// with minutes left would be rejected within their first second.
		slots[0] = start + p.slotHoldTime(m)
		slices.Sort(slots)
		if i >= maxSimulatedLoads {
			break
		}
	}
	for _, m := range pending[min(len(pending), maxSimulatedLoads+1):] {
		m.forecast = p.coldStartForecast(m, slots[0])
	}
}

// slotHoldTime returns how long a load of m is expected to occupy a slot of the store.
func (p *Planner) slotHoldTime(m *model) time.Duration {
	if m.reservedTarget != nil {
		return p.expectedLoadTime(m, m.reservedTarget)
	}
	return time.Duration(float64(m.spec.LoadTime) * p.store.slowdown)
}

// maxSimulatedLoads limits the queued models that updateForecasts simulates one by one; the models
// behind them share one estimate of the wait.
const maxSimulatedLoads = 64

// slotWaits returns the time until each of the store's slots is free, in ascending order.
func (p *Planner) slotWaits(now time.Time) []time.Duration {
	slots := make([]time.Duration, 0, p.store.slots)
	p.forEachModel(func(m *model) {
		for _, r := range m.replicas {
			if r.loading() && (r.fromStore || !r.loadObserved) && len(slots) < p.store.slots {
				elapsed := now.Sub(r.trackedSince)
				slots = append(slots, max(p.expectedLoadTime(m, r.target)-elapsed, elapsed/4))
			}
		}
	})
	for len(slots) < p.store.slots {
		slots = append(slots, 0)
	}
	slices.Sort(slots)
	return slots
}

// largestFit is the size in bytes of the largest model that fits on a target, as of the last round.
type largestFit struct {
	measured      bool
	free          int64 // in memory that is free now
	afterEviction int64 // after pending unloads and the evictions that are allowed now
	emptyTarget   int64 // on an empty target
}

// updateLargestFit computes largestFit over all usable targets.
func (p *Planner) updateLargestFit(now time.Time) {
	p.largestFit = largestFit{measured: true}
	for _, t := range p.targets {
		if !t.usable() {
			continue
		}
		afterEviction := t.freeBytes()
		for _, r := range t.replicas {
			if r.state == stateUnload || p.canEvict(r, now) {
				afterEviction += r.bytes
			}
		}
		p.largestFit.free = max(p.largestFit.free, t.freeBytes())
		p.largestFit.afterEviction = max(p.largestFit.afterEviction, afterEviction)
		p.largestFit.emptyTarget = max(p.largestFit.emptyTarget, t.spec.WeightBytes())
	}
}

// evictionTime is how long an eviction takes until its memory can be loaded: two rounds plus the
// engine's unload.
const evictionTime = time.Second

// coldStartForecast returns the forecast of a load that starts after wait. If all memory is in use
// at present, it is assumed to become free after MinResidency plus MaxEvictionDelay, so that
// requests that can wait that long are not rejected. The forecast is impossible only if no target
// could ever hold the model.
func (p *Planner) coldStartForecast(m *model, wait time.Duration) Forecast {
	load := time.Duration(float64(m.spec.LoadTime) * p.store.slowdown)
	switch {
	case m.reservedTarget != nil:
		return Forecast{Possible: true, ReadyIn: wait + p.expectedLoadTime(m, m.reservedTarget)}
	case m.spec.Bytes <= p.largestFit.free:
		return Forecast{Possible: true, ReadyIn: wait + load}
	case m.spec.Bytes <= p.largestFit.afterEviction:
		return Forecast{Possible: true, ReadyIn: wait + load + evictionTime}
	case m.spec.Bytes <= p.largestFit.emptyTarget:
		return Forecast{Possible: true, ReadyIn: wait + load + p.settings.MinResidency + p.settings.MaxEvictionDelay}
	}
	return Forecast{}
}

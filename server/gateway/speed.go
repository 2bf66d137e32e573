package gateway

import (
	"math"
	"time"

	"cowsliptiller/coord/request"
	"cowsliptiller/coord/targetspeed"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/platform"
	"cowsliptiller/server/board"
	"cowsliptiller/server/rpc"
)

// speedFactor returns by how much the time of work at a target is multiplied; 1 if no speed of its
// service is known. The caller holds mu.
func (t *targets) speedFactor(instance string) float64 {
	s := t.table.Get(instance)
	if s == nil {
		return 1
	}
	factor, _ := t.speeds.Factor(instance, s.Service, t.config.Now())
	return factor
}

// speedsKnown reports whether targets of a service have announced their speed. The caller holds mu.
func (t *targets) speedsKnown(service string) bool {
	return t.speeds.Announced(service, t.config.Now())
}

// observeSpeed records the speed that a target announces in its answer.
func (t *targets) observeSpeed(p destination, l platform.Load) {
	if l.SpeedPercent == 0 {
		return
	}
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Get(p.Instance) == nil {
		return
	}
	t.samples.Record(p.Instance, l.SpeedPercent, now)
	t.router.SetBurst(p.Instance, t.samples.TransientUntil(p.Instance, t.speeds.Lasting(p.Instance, now)))
}

// speedsLost returns the samples of a poll that failed to those of the next one, and ends speeds that
// no leader has confirmed for long.
func (t *targets) speedsLost(lost []*rpc.SpeedSample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples.Return(board.SpeedsFromRPC(lost))
	t.setRouterSpeeds(t.config.Now())
}

// followSpeeds takes over the speeds of a leader's response, after the table. The caller holds mu.
func (t *targets) followSpeeds(epoch uint64, u targetstatus.Update, now time.Time) {
	var changed []targetspeed.Published
	for _, s := range u.Changed {
		changed = append(changed, targetspeed.Published{Instance: s.Instance, Service: s.Service, Percent: s.SpeedPercent})
	}
	for _, l := range u.Loads {
		if s := t.table.Get(l.Instance); s != nil {
			changed = append(changed, targetspeed.Published{Instance: l.Instance, Service: s.Service, Percent: l.SpeedPercent})
		}
	}
	inTable := func(instance string) bool { return t.table.Get(instance) != nil }
	t.speeds.Apply(epoch, changed, now)
	t.speeds.Retain(inTable, now)
	t.samples.Retain(inTable)
}

// setRouterSpeeds passes the speed factors to the router: those of all targets of the services that
// announce any. The caller holds mu.
func (t *targets) setRouterSpeeds(now time.Time) {
	factors := map[string]float64{}
	for id, s := range t.table.All() { // any order: targets are independent
		if factor, announced := t.speeds.Factor(id, s.Service, now); announced {
			factors[id] = factor
		}
	}
	t.router.SetSpeeds(factors)
}

// withSpeed returns a target's status with the speed that this host assumes: the leader's own, the
// former leader's, or the median of its service. The caller holds mu.
func (t *targets) withSpeed(s targetstatus.Status, now time.Time) targetstatus.Status {
	s.SpeedPercent = 0
	if factor, announced := t.speeds.Factor(s.Instance, s.Service, now); announced {
		s.SpeedPercent = int(math.Round(100 * factor))
	}
	return s
}

// atSpeed returns how long work takes at a target that takes d at usual speed. The caller holds mu.
func (t *targets) atSpeed(instance string, d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.speedFactor(instance))
}

// atUsualSpeed returns how long work that took d at a target takes at usual speed. The caller holds mu.
func (t *targets) atUsualSpeed(instance string, d time.Duration) time.Duration {
	return time.Duration(float64(d) / t.speedFactor(instance))
}

// expectedRun is how long a call is expected to run at usual speed; 0: not known. The caller holds mu.
func (t *targets) expectedRun(c *call) time.Duration {
	if !c.needsModel() {
		return 0
	}
	return t.outputTimes.Estimate(c.service.Name, c.expectedOutput())
}

// expectedOutput is how many tokens the call is expected to generate; 0: not known.
func (c *call) expectedOutput() int64 {
	return request.ExpectedOutput(c.LengthHint, c.MaxOutputTokens)
}

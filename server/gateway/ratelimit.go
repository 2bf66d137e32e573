package gateway

import (
	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/platform"
)

// observeRateLimit records what a target's answer says about its rate limit.
func (t *targets) observeRateLimit(p destination, l platform.RateLimit) {
	if !l.Known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordRateLimit(p.Instance, ratelimit.Observation{Limited: l.Announced, PerSecond: l.PerSecond, At: t.config.Now()})
}

// recordRateLimit records an observation. The caller holds mu.
func (t *targets) recordRateLimit(instance string, o ratelimit.Observation) {
	if !t.rateLimits.Observe(instance, o) {
		return
	}
	t.events.TargetLimitChanged(instance, o.Limited, o.PerSecond)
	t.config.Metrics.targetsLimited(t.rateLimits.Limited())
}

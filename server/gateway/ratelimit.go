package gateway

import (
	"time"

	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/platform"
	"cowsliptiller/server/board"
	"cowsliptiller/server/rpc"
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

// learnRateLimit records the observation in the reply to a request that was sent at asked. Its age
// counts from then, so that an observation that an owner returns is not newer than it was.
func (t *targets) learnRateLimit(instance string, o *rpc.RateObservation, asked time.Time) {
	if o == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordRateLimit(instance, board.RateLimitFromRPC(o, asked))
}

// rateLimit returns the newest observation of a target's limit.
func (t *targets) rateLimit(instance string) ratelimit.Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rateLimits.Get(instance)
}

// recordRateLimit records an observation. The caller holds mu.
func (t *targets) recordRateLimit(instance string, o ratelimit.Observation) {
	if !t.rateLimits.Observe(instance, o) {
		return
	}
	t.events.TargetLimitChanged(instance, o.Limited, o.PerSecond)
	t.config.Metrics.targetsLimited(t.rateLimits.Limited())
}

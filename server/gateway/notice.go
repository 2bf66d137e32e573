package gateway

import (
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/platform"
)

// observeNotices records the backoff that a target's answer requests, and that the target leaves.
func (t *targets) observeNotices(p destination, a platform.Answer) {
	if a.Backoff > 0 {
		t.recordBackoff(p, a.Backoff)
	}
	if a.Leaving {
		t.recordLeaving(p)
	}
}

func (t *targets) recordLeaving(p destination) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.router.SetLeaving(p.Instance, p.StartedUnixMs, now) {
		t.events.TargetLeaving(p.Instance)
	}
}

func (t *targets) recordBackoff(p destination, backoff time.Duration) {
	t.config.Metrics.backoffRequested(p.Service)
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.router.SetBackoff(p.Instance, p.StartedUnixMs, backoff, now) {
		t.events.TargetBackoff(p.Instance, backoff)
	}
}

// answeredBy reports whether an answer comes from the target that the call was sent to. A target
// at the address of another one refuses the call, and may leave out its own id.
func answeredBy(p destination, a platform.Answer) bool {
	return a.Instance == p.Instance || a.Instance == "" && !a.Misdirected
}

// checkNotices returns an error if a target is unreachable, leaving or in backoff. A call is checked again right
// before it is sent: the target's answer may have come while it waited or was connecting.
func (t *targets) checkNotices(p destination) error {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.noticeError(p.Instance, now)
}

// noticeError is checkNotices by the target's id. The caller holds mu.
func (t *targets) noticeError(instance string, now time.Time) error {
	if t.router.Unreachable(instance) {
		return fault.NewRetryAfter(fault.NoCapacity, overloadRetryAfter, "the host of target %s does not respond", instance)
	}
	if t.router.Leaving(instance, now) {
		return fault.NewRetryAfter(fault.NoCapacity, overloadRetryAfter, "target %s is leaving", instance)
	}
	if backoff := t.router.Backoff(instance, now); backoff > 0 {
		return fault.NewRetryAfter(fault.Overloaded, backoff, "target %s is in backoff for %v", instance, backoff.Round(time.Millisecond))
	}
	return nil
}

// backoffEnds returns the time until the first target that serves a call accepts requests again, if
// all of them are in backoff; 0 otherwise.
func (t *targets) backoffEnds(c *call) time.Duration {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.routingRequest(c, now)
	if !ok {
		return 0
	}
	return t.router.BackoffEnds(q, now)
}

// untilBackoffEnds sets the retry time of a refusal to the end of the first backoff, if all targets
// that serve the call are in backoff and its model is not ready elsewhere before.
func (t *retryState) untilBackoffEnds(err error) error {
	if err == nil {
		return nil
	}
	f := fault.From(err)
	if f.Kind != fault.Overloaded && f.Kind != fault.NoCapacity {
		return err
	}
	backoff := t.gateway.targets.backoffEnds(t.call)
	if backoff == 0 {
		return err
	}
	if t.call.retryExpected && f.RetryAfter < backoff {
		return err // an agent loads the model for the caller's retry
	}
	out := *f
	out.RetryAfter = backoff
	return &out
}

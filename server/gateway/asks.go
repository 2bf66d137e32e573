package gateway

import (
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/routing"
	"cowsliptiller/platform"
)

// observeAsks records what a target's answer asks of this host for itself.
func (t *targets) observeAsks(p destination, a platform.Answer) {
	if a.Rest > 0 {
		t.recordRest(p, a.Rest)
	}
	if a.Leaving {
		t.recordLeaving(p)
	}
}

func (t *targets) recordLeaving(p destination) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.router.SaidLeaving(p.Instance, p.StartedUnixMs, now) {
		t.events.TargetLeaving(p.Instance)
	}
}

func (t *targets) recordRest(p destination, rest time.Duration) {
	t.config.Metrics.restAsked(p.Service)
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.router.Rested(p.Instance, p.StartedUnixMs, rest, now) {
		t.events.TargetRestAsked(p.Instance, rest)
	}
}

// answeredBy reports whether an answer comes from the target that the call was sent to. A target
// at the address of another one refuses the call, and may leave out its own id.
func answeredBy(p destination, a platform.Answer) bool {
	return a.Instance == p.Instance || a.Instance == "" && !a.Misdirected
}

// checkAsks returns an error if a target wants no calls from this host now. A call is checked
// again right before it is sent: the target may have asked while it waited or was connecting.
func (t *targets) checkAsks(p destination) error {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asksNothing(p.Instance, now)
}

// asksNothing is checkAsks by the target's id. The caller holds mu.
func (t *targets) asksNothing(instance string, now time.Time) error {
	if t.router.Leaving(instance, now) {
		return fault.NewRetryAfter(fault.NoCapacity, overloadRetryAfter, "target %s is leaving", instance)
	}
	if rest := t.router.Resting(instance, now); rest > 0 {
		return fault.NewRetryAfter(fault.Overloaded, rest, "target %s wants no requests for %v", instance, rest.Round(time.Millisecond))
	}
	return nil
}

// restEnds returns the time until the first target that serves a call takes calls again, if all of
// them rest; 0 otherwise.
func (t *targets) restEnds(c *call) time.Duration {
	q := routing.Request{Name: routing.ServiceName(c.service.Name), Domains: c.domains}
	if c.needsModel() {
		q.Name = c.service.Name + ":" + c.modelName()
	}
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.router.RestEnds(q, now)
}

// untilRestEnds sets the retry time of a refusal to the time at which the first target is back, if
// all that serve the call rest and no model is ready elsewhere before.
func (t *retryState) untilRestEnds(err error) error {
	if err == nil {
		return nil
	}
	f := fault.From(err)
	if f.Kind != fault.Overloaded && f.Kind != fault.NoCapacity {
		return err
	}
	rest := t.gateway.targets.restEnds(t.call)
	if rest == 0 {
		return err
	}
	if t.call.retryExpected && f.RetryAfter < rest {
		return err // an agent loads the model for the caller's retry
	}
	out := *f
	out.RetryAfter = rest
	return &out
}

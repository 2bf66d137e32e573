package gateway

import "cowsliptiller/platform"

// observeAsks records what a target's answer asks of this host for itself.
func (t *targets) observeAsks(p destination, a platform.Answer) {
	if a.Rest > 0 {
		t.events.TargetRestAsked(p.Instance, a.Rest)
		t.config.Metrics.restAsked(p.Service)
	}
	if a.Leaving {
		t.events.TargetLeaving(p.Instance)
	}
}

// answeredBy reports whether an answer comes from the target that the call was sent to. A target
// at the address of another one refuses the call, and may leave out its own id.
func answeredBy(p destination, a platform.Answer) bool {
	return a.Instance == p.Instance || a.Instance == "" && !a.Misdirected
}

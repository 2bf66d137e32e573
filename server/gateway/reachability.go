package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"cowsliptiller/coord/reachability"
	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/upstream"
)

// reachabilityInterval is the interval between checks for due probes.
const reachabilityInterval = 50 * time.Millisecond

// watchReachability makes the probes that are due.
func (g *Gateway) watchReachability(ctx context.Context) {
	ticker := time.NewTicker(reachabilityInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range g.targets.dueProbes() {
			g.workers.Go(func() {
				responded := g.pool.Responds(ctx, p.address, p.request(), p.attempts, reachability.ProbeTimeout)
				g.targets.recordProbe(p.instance, responded)
			})
		}
	}
}

// dueProbe is a target to probe.
type dueProbe struct {
	instance, address string
	hasReport         bool
	attempts          int // over new connections
}

// thoroughAttempts is the number of attempts before a target counts as unreachable, so that a link
// that loses packets does not look like a host that does not respond.
const thoroughAttempts = 3

// request returns the request to probe the target with; nil: a connection is opened only. A
// suspended process whose kernel accepts connections does not respond to a request. It names the
// target, because the address may have been reassigned to another service.
func (p dueProbe) request() *upstream.Request {
	if !p.hasReport {
		return nil
	}
	header := http.Header{platform.HeaderExpectInstance: {p.instance}}
	return &upstream.Request{Address: p.address, Method: http.MethodGet, RequestURI: platform.ReportPath, Host: p.address, Header: header}
}

// hasResponded reports whether a target has responded since a time, or responds now.
func (g *Gateway) hasResponded(ctx context.Context, p destination, since time.Time) bool {
	if g.targets.heardSince(p.Instance, since) {
		return true
	}
	probe := dueProbe{instance: p.Instance, address: p.Address, hasReport: g.targets.runsModels(p.Service)}
	responded := g.pool.Responds(ctx, probe.address, probe.request(), 1, reachability.ProbeTimeout)
	g.config.Metrics.targetProbed(responded)
	if responded {
		g.targets.recordHeard(p.Instance)
	}
	return responded
}

func (t *targets) heardSince(instance string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachability.HeardSince(instance, since)
}

func (t *targets) dueProbes() []dueProbe {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := func(instance string) bool { return t.table.Get(instance) != nil }
	var out []dueProbe
	for _, p := range t.reachability.Due(known, t.config.Now()) {
		s := t.table.Get(p.Target)
		attempts := 1
		if p.Thorough {
			attempts = thoroughAttempts
		}
		out = append(out, dueProbe{p.Target, s.Address, t.runsModels(s.Service), attempts})
	}
	return out
}

func (t *targets) runsModels(service string) bool {
	s := t.config.Source.Current()
	if s == nil || s.Routes == nil || s.Routes.Service(service) == nil {
		return false
	}
	return s.Routes.Service(service).RunsModels()
}

// recordProbe records the result of a probe.
func (t *targets) recordProbe(instance string, responded bool) {
	t.config.Metrics.targetProbed(responded)
	t.applyProbe(instance, responded)
	t.leaveUnreachable()
}

func (t *targets) applyProbe(instance string, responded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachability.ProbeEnded(instance, responded, t.config.Now()) {
		t.reachabilityChanged(instance, responded)
	}
}

// leaveUnreachable moves the attempts at unreachable targets, as far as another target can take
// them. It is called again at each update of the table, which may show another copy.
func (t *targets) leaveUnreachable() {
	for _, w := range t.watchersOfUnreachable() {
		w.check()
	}
}

func (t *targets) watchersOfUnreachable() []watcher {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []watcher
	for instance, watchers := range t.watchers {
		if !t.router.Unreachable(instance) {
			continue
		}
		out = slices.AppendSeq(out, maps.Keys(watchers))
	}
	return out
}

// recordHeard records that something was received from a target.
func (t *targets) recordHeard(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachability.Heard(instance, t.config.Now()) {
		t.reachabilityChanged(instance, true)
	}
}

// reachabilityChanged passes a change to the router. The caller holds mu.
func (t *targets) reachabilityChanged(instance string, reachable bool) {
	t.updateUnreachable()
	if reachable {
		t.events.TargetReachable(instance)
		return
	}
	t.events.TargetUnreachable(instance, len(t.watchers[instance]))
}

// updateUnreachable makes the router exclude the unreachable targets. The caller holds mu.
func (t *targets) updateUnreachable() {
	unreachable := t.reachability.Unreachable()
	t.router.SetUnreachable(unreachable)
	t.config.Metrics.targetsUnreachable(len(unreachable))
}

// followReachability takes over what the board's table says of targets. The caller holds mu.
func (t *targets) followReachability(now time.Time) {
	reported := map[string]bool{}
	for id, s := range t.table.All() {
		if s.Unreachable {
			reported[id] = true
		}
	}
	t.reachability.HeardFromControl(now)
	t.reachability.Retain(func(instance string) bool { return t.table.Get(instance) != nil })
	before := t.reachability.Unreachable()
	t.reachability.SetReported(reported)
	t.updateUnreachable()
	t.logReachability(before, t.reachability.Unreachable())
}

// logReachability logs the differences between two sets of unreachable targets. The caller holds
// mu.
func (t *targets) logReachability(before, after []string) {
	for _, instance := range after {
		if !slices.Contains(before, instance) {
			t.events.TargetUnreachable(instance, len(t.watchers[instance]))
		}
	}
	for _, instance := range before {
		if !slices.Contains(after, instance) && t.table.Get(instance) != nil {
			t.events.TargetReachable(instance)
		}
	}
}

// addFailedProbes reports this host's failed probes to the board. The caller holds mu.
func (t *targets) addFailedProbes(r *rpc.WatchRequest) {
	r.Unreachable = t.reachability.FailedProbes()
}

// handoverBegan and handoverEnded record that another target is about to continue a call of a target.
func (t *targets) handoverBegan(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachability.HandoverBegan(instance)
}

func (t *targets) handoverEnded(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachability.HandoverEnded(instance)
}

// watcher is notified while the target of an attempt is unreachable. check must not block.
type watcher interface{ check() }

func (t *targets) addWatcher(instance string, w watcher) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.watchers[instance] == nil {
		t.watchers[instance] = map[watcher]bool{}
	}
	t.watchers[instance][w] = true
}

func (t *targets) removeWatcher(instance string, w watcher) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.watchers[instance], w)
	if len(t.watchers[instance]) == 0 {
		delete(t.watchers, instance)
	}
}

func (t *targets) unreachable(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.router.Unreachable(instance)
}

package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
	"unicode/utf8"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/routing"
	"cowsliptiller/coord/streams"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
)

// resumeRetryAfter is the retry time of a resumed stream whose version is not known: another host
// may know it.
const resumeRetryAfter = 100 * time.Millisecond

// resolveOrigin determines the service and its software version at which a caller's resumed stream may continue.
// Errors: fault.NoCapacity.
func (t *retryState) resolveOrigin(ctx context.Context) error {
	g, c := t.gateway, t.call
	if c.LastEvent == "" || !c.route.Streaming {
		return nil
	}
	origin := t.findOrigin(ctx)
	ok := origin.SoftwareVersion != ""
	g.config.Events.OriginResolved(c.RequestID, c.Resumes, origin.Target.Instance, origin.SoftwareVersion)
	g.config.Metrics.originResolved(c.service.Name, ok)
	if !ok {
		return fault.NewRetryAfter(fault.NoCapacity, resumeRetryAfter, "the software version that began the stream of request %q is not known", c.Resumes)
	}
	if !c.continueAt(origin.Service) {
		return fault.New(fault.NoCapacity, "the stream of request %q began at service %q, which its route no longer includes", c.Resumes, origin.Service)
	}
	c.origin.Store(&origin)
	return nil
}

// findOrigin returns the origin of the stream that the call resumes, with its software version if that can be
// determined: by this host's record, by the only version that the service has had, or by other hosts' records.
func (t *retryState) findOrigin(ctx context.Context) streams.Origin {
	g, c := t.gateway, t.call
	began := c.streamID(c.Resumes)
	origin, known := g.origins.local(began)
	if !known {
		origin = streams.Origin{Service: c.service.Name}
	}
	origin.SoftwareVersion = g.targets.versionOf(origin)
	if origin.SoftwareVersion != "" || origin.Service != c.service.Name {
		return origin
	}
	origin.SoftwareVersion = g.onlyVersion(ctx, c)
	if origin.SoftwareVersion != "" || began == "" {
		return origin
	}
	if found, ok := g.origins.ask(ctx, began); ok {
		return found
	}
	return origin
}

// onlyVersion returns the only software version that the call's service has had for as long as the stream that the call
// resumes can have lasted; empty: there may have been others. The leader is asked, since this host's table may lack a
// target that another host has.
func (g *Gateway) onlyVersion(ctx context.Context, c *call) string {
	b := g.config.Board()
	if b == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	lasted := c.streamSpan() + g.config.Now().Sub(c.start) + findTimeout // when the leader answers
	resp, err := b.ServiceVersions(ctx, &rpc.ServiceVersionsRequest{
		Caller: g.config.Caller, Service: c.service.Name, SpanMs: uint32(streams.SpanOf(lasted).Milliseconds()),
	})
	if err != nil {
		g.config.Log.Debug("no answer about the software versions of a service", "service", c.service.Name, "error", err)
		return ""
	}
	return g.targets.onlyVersion(c.service.Name, resp, lasted)
}

// continueAt selects the service at which a stream began. Software versions of different services cannot be
// compared. It reports false if the call's route does not include that service.
func (c *call) continueAt(service string) bool {
	if service == c.service.Name {
		return true
	}
	included := func(s *coordpb.WeightedService) bool { return s.Service == service && s.Weight > 0 }
	if !slices.ContainsFunc(c.route.Services, included) {
		return false
	}
	c.service = c.index.Service(service)
	c.record.Service = service
	return true
}

// setOrigin notes the target that sends a stream's first event.
func (t *retryState) setOrigin(p destination) {
	c := t.call
	if c.route.Resumable && c.origin.Load() == nil {
		c.origin.Store(&streams.Origin{Service: c.service.Name, SoftwareVersion: p.SoftwareVersion, Target: streams.TargetOf(&p.Status)})
	}
}

// recordOrigin records the origin of a stream that has begun, for a caller that resumes it.
func (t *retryState) recordOrigin() {
	c := t.call
	if origin := c.origin.Load(); origin != nil && c.LastEvent == "" {
		t.gateway.origins.record(c.streamID(c.RequestID), *origin)
	}
}

// streamID identifies the stream that a request of the call's workspace began; empty: the request is
// not given, or its id is not valid UTF-8 and cannot be encoded in a message. Callers choose the
// ids of their requests, and those of two workspaces may be equal.
func (c *call) streamID(request string) string {
	if request == "" || !utf8.ValidString(request) {
		return ""
	}
	return c.record.Workspace + "/" + request
}

// streamSpan is how long a stream of the call's route can have lasted, over its caller's attempts. The stream
// may have begun before the route's time limit was shortened.
func (c *call) streamSpan() time.Duration {
	limit := time.Duration(max(c.route.TimeoutMs, c.route.LongestTimeoutMs)) * time.Millisecond
	return min(limit, streams.OriginLifetime)
}

// versionOf returns the software version of an origin; empty: it is not known.
func (t *targets) versionOf(o streams.Origin) string {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions.VersionOf(o, now)
}

// onlyVersion returns the only version of a service by the leader's answer; empty: there may have been others.
func (t *targets) onlyVersion(service string, r *rpc.ServiceVersionsResponse, lasted time.Duration) string {
	leader := streams.ServiceVersions{
		Versions: r.SoftwareVersions, Term: r.Epoch, KnownFor: time.Duration(r.KnownMs) * time.Millisecond,
	}
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	version, _ := t.versions.Only(service, leader, lasted, now)
	return version
}

// singleVersions returns the services whose targets have had one version for originHold, as of the
// last update of the table.
func (t *targets) singleVersions() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.single
}

// requiredVersion returns the software version that a call's target must have; empty: any. It
// reports false if the call continues a stream and the version is not known. The caller holds mu.
func (t *targets) requiredVersion(c *call, now time.Time) (version string, ok bool) {
	origin := c.origin.Load()
	if origin == nil {
		return "", true
	}
	version = t.versions.VersionOf(*origin, now)
	return version, version != ""
}

// mayContinue reports whether a target has the software version that a call needs.
func (t *targets) mayContinue(c *call, p destination) bool {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	version, ok := t.requiredVersion(c, now)
	return ok && (version == "" || version == t.softwareVersion(&p.Status, now))
}

// softwareVersion returns a target's software version, also while the table does not have it. The
// caller holds mu.
func (t *targets) softwareVersion(s *targetstatus.Status, now time.Time) string {
	return t.versions.Record(streams.TargetOf(s), s.SoftwareVersion, now)
}

// observeVersions records the targets of the table, which was asked for at a time, and their software versions. The
// caller holds mu.
func (t *targets) observeVersions(complete bool, askedAt, now time.Time) {
	rows := t.table.All()
	t.versions.ObserveRows(maps.Values(rows), streams.Table{Complete: complete, Term: t.epoch, AskedAt: askedAt}, now)
	t.single = map[string]bool{}
	for _, s := range rows {
		if _, ok := t.single[s.Service]; !ok {
			t.single[s.Service] = t.versions.Single(s.Service, originHold, now)
		}
	}
}

// routingRequest returns the routing request of a call, for targets that hold its model. It reports
// false if no target may take it. The caller holds mu.
func (t *targets) routingRequest(c *call, now time.Time) (routing.Request, bool) {
	version, ok := t.requiredVersion(c, now)
	return routing.Request{
		Name: c.routingName(), PrefixHash: prefixHash(c), NoProbe: !c.repeatable(), Domains: c.domains, SoftwareVersion: version,
		RunTime: t.expectedRun(c), Deadline: c.deadline, Cost: t.promptCost(c),
	}, ok
}

// resumesAfter returns the event after which an attempt continues a stream; empty: it does not. lastEvent
// is the last event of this answer, empty if the answer has none yet.
func (t *retryState) resumesAfter(lastEvent string) string {
	if !t.call.route.Streaming {
		return ""
	}
	return cmp.Or(lastEvent, t.call.LastEvent)
}

// recordResumed logs and counts an attempt that continues a stream.
func (t *retryState) recordResumed(p destination, lastEvent string) {
	after := t.resumesAfter(lastEvent)
	if after == "" {
		return
	}
	c := t.call
	sameAnswer := lastEvent != ""
	t.gateway.config.Events.StreamResumed(events.ResumedStream{
		Request: c.RequestID, Began: t.began(), AfterEvent: after,
		Target: p.Instance, SoftwareVersion: p.SoftwareVersion, SameAnswer: sameAnswer,
	})
	t.gateway.config.Metrics.streamResumed(c.service.Name, sameAnswer)
}

// began returns the request that the call's stream began with; empty: the caller did not say.
func (t *retryState) began() string {
	c := t.call
	if c.LastEvent == "" {
		return c.RequestID
	}
	return c.Resumes
}

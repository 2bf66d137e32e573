package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/platform"
	"cowsliptiller/server/upstream"
)

var errNoBoard = fault.New(fault.Unavailable, "the control leader is not known")

// Bounds of attempts.
const (
	// maxAttempts bounds how often one call arrives at targets, refusals included.
	maxAttempts = 6
	// silenceLatencyFactor the target latency without an answer is when a call that may be
	// repeated goes elsewhere: the target has hung, or its connection is silent.
	// Three times is past the time in which the answer has its full worth, and
	// leaves most of the time for the next attempt.
	silenceLatencyFactor = 3
	// minSilence keeps a short target latency from sending calls elsewhere that a
	// target has just queued.
	minSilence = 250 * time.Millisecond
	// streamSilenceShare of its caller's patience is how long a stream may be silent.
	streamSilenceShare = 0.6
	// overloadRetryAfter is when a caller may come back whom all targets refused: the
	// time in which a plain target works off a part of its queue.
	overloadRetryAfter = 300 * time.Millisecond
)

// retryState is the state of a call over its attempts.
type retryState struct {
	gateway    *Gateway
	call       *call
	relay      *relay
	excluded   []string // targets that failed or refused this call
	attempts   int      // at targets, refusals included
	maybeRan   int      // targets that may have run it
	lastErr    error
	modelWaits int // times that a model was waited for
}

// run has a call run and its answer passed on. The error is the call's final one,
// nil when an answer went out whole; answered says that its header has gone out.
func (g *Gateway) run(ctx context.Context, c *call, w http.ResponseWriter) (answered bool, err error) {
	t := &retryState{gateway: g, call: c, relay: newRelay(w, c, g)}
	if c.needsModel() {
		g.targets.recordDemand(c.Model, c.value())
	}
	for {
		again := t.next(ctx)
		if !again {
			return t.relay.headerSent, t.lastErr
		}
	}
}

// next makes one attempt. It reports whether another one should follow.
func (t *retryState) next(ctx context.Context) (again bool) {
	g, c := t.gateway, t.call
	if !g.config.Source.Fresh(g.config.Now()) {
		// The process may have stood still: the key may be withdrawn by now.
		t.fail(fault.New(fault.Stale, "this host has lost touch with control"))
		return false
	}
	p, err := t.selectTarget(ctx)
	if err != nil {
		t.fail(err)
		return false
	}
	if t.attempts > 0 && !g.tryRetry(c.service.Name) {
		t.fail(fault.After(fault.Overloaded, overloadRetryAfter, "too many repeats go to service %q", c.service.Name))
		return false
	}
	return t.attempt(ctx, p)
}

// fail keeps the error to answer with. What an earlier attempt left open wins: see
// request.Call.Resolve.
func (t *retryState) fail(err error) {
	if t.lastErr == nil || !fault.Is(err, fault.NoCapacity) {
		t.lastErr = err
	}
}

// selectTarget chooses a target and makes sure that it holds what the call needs.
func (t *retryState) selectTarget(ctx context.Context) (destination, error) {
	g, c := t.gateway, t.call
	for {
		p, held, ok := g.targets.pick(c, t.excluded)
		if ok && held {
			return t.admitToQueue(p)
		}
		if !c.needsModel() {
			if t.lastErr != nil {
				return destination{}, t.lastErr
			}
			if t.awaitTargets(ctx) {
				continue
			}
			return destination{}, fault.After(fault.Overloaded, overloadRetryAfter, "no target of service %q takes requests", c.service.Name)
		}
		if ok && p.Agent != "" {
			err := g.ensure(ctx, c, p.Status)
			if err == nil {
				return p, nil
			}
			t.excluded = append(t.excluded, p.Instance)
			if ctx.Err() != nil {
				return destination{}, err
			}
			continue
		}
		if t.awaitTargets(ctx) {
			continue
		}
		return t.loadModel(ctx)
	}
}

// admitToQueue refuses a call that would wait in its target's queue until it is late: there it
// only makes the calls behind it late too. It is told when that queue is worked off.
// Before that, all other targets that hold its model are looked at.
func (t *retryState) admitToQueue(p destination) (destination, error) {
	c := t.call
	if !c.needsModel() || !c.route.Streaming || t.relay.headerSent || t.shouldQueue(t.gateway.targets.queueWait(p)) {
		return p, nil
	}
	p = t.gateway.targets.leastLoaded(p)
	wait := t.gateway.targets.queueWait(p)
	if t.shouldQueue(wait) {
		return p, nil
	}
	return destination{}, fault.After(fault.Overloaded, request.QueueRetryAfter(wait), "target %s, the best one, has a queue of %v", p.Instance, wait.Round(time.Millisecond))
}

// shouldQueue reports whether the call should join a queue of that length.
func (t *retryState) shouldQueue(wait time.Duration) bool {
	c := t.call
	spent := t.gateway.config.Now().Sub(c.start)
	return request.ShouldQueue(wait, spent, time.Duration(c.route.LatencyMs)*time.Millisecond, c.waitLimit())
}

// attempt sends the call to a target and passes its answer on.
func (t *retryState) attempt(ctx context.Context, p destination) (again bool) {
	g, c := t.gateway, t.call
	now := g.config.Now()
	a, err := c.attempts.Begin(strconv.Itoa(t.attempts+1), p.Instance, now)
	if err != nil || !c.attempts.HandOver(a, now) {
		t.fail(fault.New(fault.Expired, "the deadline passed before a target was asked"))
		return false
	}
	if t.attempts == 0 {
		g.recordRequest(c.service.Name)
	}
	t.attempts++
	c.record.Attempts, c.record.Target = t.attempts, p.Instance
	g.targets.recordStart(p)
	outcome := t.exchange(ctx, a, p)
	g.targets.recordFinish(p, outcome.result, g.config.Now().Sub(now))
	if outcome.err == nil {
		c.attempts.MarkFinished(a)
		if t.relay.eventStream {
			g.targets.recordRun(c.service.Name, g.config.Now().Sub(c.start.Add(c.record.First)))
		}
		t.lastErr = nil
		return false
	}
	refused := c.attempts.Fail(a, outcome.err, outcome.notRun)
	if refused.Ran != fault.RanNo {
		t.maybeRan++
	}
	t.fail(outcome.err)
	t.excluded = append(t.excluded, p.Instance)
	again = t.mayRetry(ctx, refused)
	g.config.Events.AttemptFailed(c.RequestID, p.Instance, t.attempts, refused.Ran, outcome.err.Error(), again)
	g.config.Metrics.attemptFailed(c.service.Name, refused.Kind)
	return again
}

// mayRetry reports whether the call may go to another target after a failed attempt.
func (t *retryState) mayRetry(ctx context.Context, failed *fault.Error) bool {
	c := t.call
	switch {
	case ctx.Err() != nil || t.attempts >= maxAttempts:
		return false
	case t.relay.headerSent && !t.relay.resumable():
		return false
	case failed.Ran == fault.RanNo:
		return true
	}
	return c.repeatable() && t.maybeRan < int(c.route.MaxTargets)
}

// outcome is how an attempt ended.
type outcome struct {
	err    error // nil: the answer went out whole
	notRun bool  // proven: no byte was sent, or the target says so
	result routing.Outcome
}

// exchange sends the call over the wire.
func (t *retryState) exchange(ctx context.Context, a *request.Attempt, p destination) outcome {
	g, c := t.gateway, t.call
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := t.startWatchdog(p, cancel)
	defer watchdog.Stop()
	answer, err := g.pool.Do(ctx, t.upstreamRequest(p))
	if err != nil {
		return t.sendError(ctx, p, err)
	}
	meta := platform.ReadAnswer(answer.Status, answer.Header)
	g.targets.reportLoad(p, meta.Load)
	if meta.RequestID != "" && meta.RequestID != c.RequestID {
		// A late second answer to an earlier request: ours may come or not.
		answer.Abort()
		return outcome{err: fault.New(fault.TargetFailed, "the answer belongs to another request"), result: routing.Failed}
	}
	if meta.NotRun {
		return t.notRunOutcome(p, answer, meta)
	}
	c.attempts.MarkAccepted(a)
	return t.relay.relayAnswer(ctx, answer, meta, watchdog, t.mayRetryAnswered())
}

// mayRetryAnswered reports whether a failure that a target answers may be tried
// again elsewhere in place of being passed on.
func (t *retryState) mayRetryAnswered() bool {
	return t.call.repeatable() && t.maybeRan+1 < int(t.call.route.MaxTargets) && t.attempts < maxAttempts
}

// startWatchdog breaks an attempt off at a target that stays silent, where the call may
// go elsewhere. For others a silence is no reason to end: they may be running.
//
// A target that works off a queue is silent too. So a stream is left there until most
// of its caller's patience is used up, and nothing is broken off that no other target
// could take: that would only throw its place in the queue away.
func (t *retryState) startWatchdog(p destination, cancel context.CancelCauseFunc) *watchdog {
	c := t.call
	if !t.mayRetryAnswered() {
		return &watchdog{}
	}
	limit := max(minSilence, silenceLatencyFactor*time.Duration(c.route.LatencyMs)*time.Millisecond)
	if c.route.Streaming {
		limit = time.Duration(streamSilenceShare * float64(c.waitLimit()))
	}
	elsewhere := append(slices.Clone(t.excluded), p.Instance)
	return newWatchdog(limit, func() bool {
		if _, held, ok := t.gateway.targets.pick(c, elsewhere); !ok || !held {
			return false
		}
		cancel(errSilent)
		return true
	})
}

var errSilent = errors.New("the target stays silent")

func (t *retryState) upstreamRequest(p destination) *upstream.Request {
	g, c := t.gateway, t.call
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return &upstream.Request{
		Address: p.Address, Method: c.http.Method, Target: c.http.RequestURI, Host: c.http.Host, Body: c.body,
		Header: platform.ForwardHeaders(c.http.Header, platform.Forward{
			Instance: p.Instance, Deadline: c.deadline.Sub(g.config.Now()), Workspace: workspace,
			Rank: c.rank(), LastEvent: t.relay.lastEvent,
		}),
		Careful: !c.repeatable(), IdleLimit: platform.IdleLimit,
	}
}

func (t *retryState) sendError(ctx context.Context, p destination, err error) outcome {
	sent := upstream.Sent(err)
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome{err: fault.New(fault.TargetFailed, "target %s stayed silent", p.Instance), notRun: !sent, result: routing.Failed}
	case ctx.Err() != nil:
		return outcome{err: contextError(ctx), notRun: !sent, result: routing.Neutral}
	case !sent:
		return outcome{err: fault.New(fault.Unavailable, "target %s cannot be reached: %v", p.Instance, err), notRun: true, result: routing.Failed}
	}
	return outcome{err: fault.New(fault.TargetFailed, "target %s broke off: %v", p.Instance, err), result: routing.Failed}
}

// contextError tells a deadline from a caller that has gone.
func contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.New(fault.Timeout, "the time limit passed")
	}
	return fault.New(fault.Canceled, "the caller has gone")
}

// notRunOutcome takes a target's word that it did not run the call.
func (t *retryState) notRunOutcome(p destination, answer *upstream.Answer, meta platform.Answer) outcome {
	drain(answer)
	if meta.Elsewhere {
		t.gateway.targets.recordMisroute(p, meta.Instance)
		return outcome{err: fault.New(fault.NotHere, "target %s does not hold what is asked for", p.Instance), notRun: true, result: routing.Neutral}
	}
	err := fault.After(fault.Overloaded, overloadRetryAfter, "target %s is full", p.Instance)
	return outcome{err: err, notRun: true, result: routing.Neutral}
}

// recordMisroute corrects the view after a target said that it is not the one meant, or
// does not hold the model.
func (t *targets) recordMisroute(p destination, instance string) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance != "" && instance != p.Instance {
		t.router.Refused(p.Instance, p.query, fault.Leaving, nil, now)
		return
	}
	t.router.Refused(p.Instance, p.query, fault.NotHere, nil, now)
}

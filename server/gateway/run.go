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
	// maxArrivals bounds how often one call arrives at targets, refusals included.
	maxArrivals = 6
	// silentTimes the target latency without an answer is when a call that may be
	// repeated goes elsewhere: the target has hung, or its connection is silent.
	// Three times is past the time in which the answer has its full worth, and
	// leaves most of the time for the next attempt.
	silentTimes = 3
	// leastSilent keeps a short target latency from sending calls elsewhere that a
	// target has just queued.
	leastSilent = 250 * time.Millisecond
	// silentShare of its caller's patience is how long a stream may be silent.
	silentShare = 0.6
	// fullRetryAfter is when a caller may come back whom all targets refused: the
	// time in which a plain target works off a part of its queue.
	fullRetryAfter = 300 * time.Millisecond
)

// tries is the state of a call over its attempts.
type tries struct {
	gateway  *Gateway
	call     *call
	writer   *relay
	exclude  []string // targets that failed or refused this call
	arrivals int      // at targets, refusals included
	reached  int      // targets that may have run it
	last     error
	awaited  int // times that a model was waited for
}

// run has a call run and its answer passed on. The error is the call's final one,
// nil when an answer went out whole; answered says that its header has gone out.
func (g *Gateway) run(ctx context.Context, c *call, w http.ResponseWriter) (answered bool, err error) {
	t := &tries{gateway: g, call: c, writer: newRelay(w, c, g)}
	if c.needsModel() {
		g.targets.asked(c.Model, c.worth())
	}
	for {
		again := t.next(ctx)
		if !again {
			return t.writer.began, t.last
		}
	}
}

// next makes one attempt. It reports whether another one should follow.
func (t *tries) next(ctx context.Context) (again bool) {
	g, c := t.gateway, t.call
	if !g.config.Source.Fresh(g.config.Now()) {
		// The process may have stood still: the key may be withdrawn by now.
		t.fail(fault.New(fault.Stale, "this host has lost touch with control"))
		return false
	}
	p, err := t.place(ctx)
	if err != nil {
		t.fail(err)
		return false
	}
	if t.arrivals > 0 && !g.repeat(c.service.Name) {
		t.fail(fault.NewRetryAfter(fault.Overloaded, fullRetryAfter, "too many repeats go to service %q", c.service.Name))
		return false
	}
	return t.attempt(ctx, p)
}

// fail keeps the error to answer with. What an earlier attempt left open wins: see
// request.Call.Resolve.
func (t *tries) fail(err error) {
	if t.last == nil || !fault.Is(err, fault.NoCapacity) {
		t.last = err
	}
}

// place chooses a target and makes sure that it holds what the call needs.
func (t *tries) place(ctx context.Context) (place, error) {
	g, c := t.gateway, t.call
	for {
		p, held, ok := g.targets.pick(c, t.exclude)
		if ok && held {
			return t.admit(p)
		}
		if !c.needsModel() {
			if t.last != nil {
				return place{}, t.last
			}
			if t.awaitTargets(ctx) {
				continue
			}
			return place{}, fault.NewRetryAfter(fault.Overloaded, fullRetryAfter, "no target of service %q takes requests", c.service.Name)
		}
		if ok && p.Agent != "" {
			err := g.ensure(ctx, c, p.Status)
			if err == nil {
				return p, nil
			}
			t.exclude = append(t.exclude, p.Instance)
			if ctx.Err() != nil {
				return place{}, err
			}
			continue
		}
		if t.awaitTargets(ctx) {
			continue
		}
		return t.cold(ctx)
	}
}

// admit refuses a call that would wait in its target's queue until it is late: there it
// only makes the calls behind it late too. It is told when that queue is worked off.
// Before that, all other targets that hold its model are looked at.
func (t *tries) admit(p place) (place, error) {
	c := t.call
	if !c.needsModel() || !c.route.Streaming || t.writer.began || t.worthWaiting(t.gateway.targets.wait(p)) {
		return p, nil
	}
	p = t.gateway.targets.least(p)
	wait := t.gateway.targets.wait(p)
	if t.worthWaiting(wait) {
		return p, nil
	}
	return place{}, fault.NewRetryAfter(fault.Overloaded, request.QueueRetryAfter(wait), "target %s, the best one, has a queue of %v", p.Instance, wait.Round(time.Millisecond))
}

// worthWaiting reports whether the call should join a queue of that length.
func (t *tries) worthWaiting(wait time.Duration) bool {
	c := t.call
	spent := t.gateway.config.Now().Sub(c.start)
	return request.ShouldQueue(wait, spent, time.Duration(c.route.LatencyMs)*time.Millisecond, c.patience())
}

// attempt sends the call to a target and passes its answer on.
func (t *tries) attempt(ctx context.Context, p place) (again bool) {
	g, c := t.gateway, t.call
	now := g.config.Now()
	a, err := c.attempts.Begin(strconv.Itoa(t.arrivals+1), p.Instance, now)
	if err != nil || !c.attempts.HandOver(a, now) {
		t.fail(fault.New(fault.Expired, "the deadline passed before a target was asked"))
		return false
	}
	if t.arrivals == 0 {
		g.firstAttempt(c.service.Name)
	}
	t.arrivals++
	c.ended.Attempts, c.ended.Target = t.arrivals, p.Instance
	g.targets.started(p)
	outcome := t.exchange(ctx, a, p)
	g.targets.finished(p, outcome.blame, g.config.Now().Sub(now))
	if outcome.err == nil {
		c.attempts.MarkFinished(a)
		if t.writer.stream {
			g.targets.ran(c.service.Name, g.config.Now().Sub(c.start.Add(c.ended.FirstByte)))
		}
		t.last = nil
		return false
	}
	refused := c.attempts.Fail(a, outcome.err, outcome.notRun)
	if refused.Ran != fault.RanNo {
		t.reached++
	}
	t.fail(outcome.err)
	t.exclude = append(t.exclude, p.Instance)
	again = t.mayGoOn(ctx, refused)
	g.config.Events.AttemptFailed(c.RequestID, p.Instance, t.arrivals, refused.Ran, outcome.err.Error(), again)
	g.config.Metrics.attemptFailed(c.service.Name, refused.Kind)
	return again
}

// mayGoOn reports whether the call may go to another target after a failed attempt.
func (t *tries) mayGoOn(ctx context.Context, failed *fault.Error) bool {
	c := t.call
	switch {
	case ctx.Err() != nil || t.arrivals >= maxArrivals:
		return false
	case t.writer.began && !t.writer.resumable():
		return false
	case failed.Ran == fault.RanNo:
		return true
	}
	return c.repeatable() && t.reached < int(c.route.MaxTargets)
}

// outcome is how an attempt ended.
type outcome struct {
	err    error // nil: the answer went out whole
	notRun bool  // proven: no byte was sent, or the target says so
	blame  routing.Outcome
}

// exchange sends the call over the wire.
func (t *tries) exchange(ctx context.Context, a *request.Attempt, p place) outcome {
	g, c := t.gateway, t.call
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := t.watchdog(p, cancel)
	defer watchdog.Stop()
	answer, err := g.pool.Do(ctx, t.request(p))
	if err != nil {
		return t.unanswered(ctx, p, err)
	}
	meta := platform.ReadAnswer(answer.Status, answer.Header)
	g.targets.loaded(p, meta.Load)
	if meta.RequestID != "" && meta.RequestID != c.RequestID {
		// A late second answer to an earlier request: ours may come or not.
		answer.Abort()
		return outcome{err: fault.New(fault.TargetFailed, "the answer belongs to another request"), blame: routing.Failed}
	}
	if meta.NotRun {
		return t.refusedBy(p, answer, meta)
	}
	c.attempts.MarkAccepted(a)
	return t.writer.pass(ctx, answer, meta, watchdog, t.mayRepeatAfterAnswer())
}

// mayRepeatAfterAnswer reports whether a failure that a target answers may be tried
// again elsewhere in place of being passed on.
func (t *tries) mayRepeatAfterAnswer() bool {
	return t.call.repeatable() && t.reached+1 < int(t.call.route.MaxTargets) && t.arrivals < maxArrivals
}

// watchdog breaks an attempt off at a target that stays silent, where the call may
// go elsewhere. For others a silence is no reason to end: they may be running.
//
// A target that works off a queue is silent too. So a stream is left there until most
// of its caller's patience is used up, and nothing is broken off that no other target
// could take: that would only throw its place in the queue away.
func (t *tries) watchdog(p place, cancel context.CancelCauseFunc) *watchdog {
	c := t.call
	if !t.mayRepeatAfterAnswer() {
		return &watchdog{}
	}
	limit := max(leastSilent, silentTimes*time.Duration(c.route.LatencyMs)*time.Millisecond)
	if c.route.Streaming {
		limit = time.Duration(silentShare * float64(c.patience()))
	}
	elsewhere := append(slices.Clone(t.exclude), p.Instance)
	return newWatchdog(limit, func() bool {
		if _, held, ok := t.gateway.targets.pick(c, elsewhere); !ok || !held {
			return false
		}
		cancel(errSilent)
		return true
	})
}

var errSilent = errors.New("the target stays silent")

func (t *tries) request(p place) *upstream.Request {
	g, c := t.gateway, t.call
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return &upstream.Request{
		Address: p.Address, Method: c.http.Method, RequestURI: c.http.RequestURI, Host: c.http.Host, Body: c.body,
		Header: platform.ForwardHeaders(c.http.Header, platform.Forward{
			Instance: p.Instance, Deadline: c.deadline.Sub(g.config.Now()), Workspace: workspace,
			Rank: c.rank(), LastEvent: t.writer.lastEvent,
		}),
		NonRepeatable: !c.repeatable(), KeepAliveTimeout: platform.KeepAliveTimeout,
	}
}

func (t *tries) unanswered(ctx context.Context, p place, err error) outcome {
	sent := upstream.MaybeSent(err)
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome{err: fault.New(fault.TargetFailed, "target %s stayed silent", p.Instance), notRun: !sent, blame: routing.Failed}
	case ctx.Err() != nil:
		return outcome{err: ended(ctx), notRun: !sent, blame: routing.Neutral}
	case !sent:
		return outcome{err: fault.New(fault.Unavailable, "target %s cannot be reached: %v", p.Instance, err), notRun: true, blame: routing.Failed}
	}
	return outcome{err: fault.New(fault.TargetFailed, "target %s broke off: %v", p.Instance, err), blame: routing.Failed}
}

// ended tells a deadline from a caller that has gone.
func ended(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.New(fault.Timeout, "the time limit passed")
	}
	return fault.New(fault.Canceled, "the caller has gone")
}

// refusedBy takes a target's word that it did not run the call.
func (t *tries) refusedBy(p place, answer *upstream.Response, meta platform.Answer) outcome {
	drain(answer)
	if meta.Misdirected {
		t.gateway.targets.misplaced(p, meta.Instance)
		return outcome{err: fault.New(fault.NotHere, "target %s does not hold what is asked for", p.Instance), notRun: true, blame: routing.Neutral}
	}
	err := fault.NewRetryAfter(fault.Overloaded, fullRetryAfter, "target %s is full", p.Instance)
	return outcome{err: err, notRun: true, blame: routing.Neutral}
}

// misplaced corrects the view after a target said that it is not the one meant, or
// does not hold the model.
func (t *targets) misplaced(p place, instance string) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance != "" && instance != p.Instance {
		t.router.Refused(p.Instance, p.query, fault.Leaving, nil, now)
		return
	}
	t.router.Refused(p.Instance, p.query, fault.NotHere, nil, now)
}

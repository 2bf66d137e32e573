package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/platform"
	"cowsliptiller/server/events"
	"cowsliptiller/server/upstream"
)

var errNoBoard = fault.New(fault.Unavailable, "the control leader is not known")

// Bounds of attempts.
const (
	// maxAttempts bounds the attempts of one call, refusals included.
	maxAttempts = 6
	// overloadRetryAfter is the retry time if all targets refused a call: a plain
	// target processes a part of its queue in it.
	overloadRetryAfter = 300 * time.Millisecond
)

// retryState is the state of a call over its attempts.
type retryState struct {
	gateway    *Gateway
	call       *call
	relay      *relay
	excluded   []string // targets that failed or refused this call
	attempts   int      // sent to targets, refusals included
	maybeRan   int      // targets that may have run it
	lastErr    error
	modelWaits int // number of waits for a model
	// eventsBefore is the number of events that earlier attempts brought.
	eventsBefore uint64
	// Set by the mover of an attempt before it cancels the attempt.
	prepared     *destination // target that was made ready for the next attempt; nil: none
	retryGranted bool         // the next attempt has been taken from the retry budget

	retryPending bool // the present attempt is a granted retry that may not have arrived
}

// run runs a call and forwards its answer. The error is the call's final one, nil when
// a complete answer was sent; answered reports whether its header was sent.
func (g *Gateway) run(ctx context.Context, c *call, w http.ResponseWriter) (answered bool, err error) {
	t := &retryState{gateway: g, call: c, relay: newRelay(w, c, g)}
	if c.needsModel() {
		g.targets.recordDemand(c.Model, c.value())
	}
	defer t.returnRetries()
	if err := t.resolveOrigin(ctx); err != nil {
		return false, err
	}
	for {
		again := t.next(ctx)
		if !again {
			return t.relay.headerSent, t.untilBackoffEnds(t.lastErr)
		}
	}
}

// next makes one attempt. It reports whether another one should follow.
func (t *retryState) next(ctx context.Context) (again bool) {
	g, c := t.gateway, t.call
	if !g.config.Source.Fresh(g.config.Now()) {
		t.fail(errLeaseLapsed)
		return false
	}
	p, err := t.selectTarget(ctx)
	if err == nil {
		err = g.quarantine.check(c) // it may have crashed targets while it waited
	}
	if err != nil {
		t.fail(err)
		return false
	}
	if t.attempts > 0 && !t.takeRetry() {
		t.fail(fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "the retry budget of service %q is used up", c.service.Name))
		return false
	}
	return t.attempt(ctx, p)
}

// takeRetry takes a retry from the fleet's budget, unless a mover has done so.
func (t *retryState) takeRetry() bool {
	t.retryPending = t.retryGranted || t.gateway.tryRetry(t.call)
	t.retryGranted = false
	return t.retryPending
}

// recordRetryArrival records that the present attempt cannot arrive any later.
func (t *retryState) recordRetryArrival() {
	if t.retryPending {
		t.gateway.recordRetryArrival(t.call.service.Name)
	}
	t.retryPending = false
}

// returnRetries returns granted retries that were not sent. The call has ended.
func (t *retryState) returnRetries() {
	for _, unused := range []bool{t.retryPending, t.retryGranted} {
		if unused {
			t.gateway.returnRetry(t.call.service.Name)
		}
	}
}

// fail keeps the error to answer with. An earlier attempt that may have run takes precedence: see
// request.Call.Resolve.
func (t *retryState) fail(err error) {
	if t.lastErr == nil || !fault.Is(err, fault.NoCapacity) {
		t.lastErr = err
	}
}

// selectTarget chooses a target and waits until the call may be sent to it.
func (t *retryState) selectTarget(ctx context.Context) (destination, error) {
	for {
		p, err := t.chooseTarget(ctx)
		if err != nil {
			return destination{}, err
		}
		if err = t.reserveSend(ctx, &p); err == nil {
			err = t.gateway.checkView(p)
		}
		if err == nil {
			err = t.gateway.targets.checkNotices(p)
		}
		if err == nil || ctx.Err() != nil || err == errLeaseLapsed {
			return p, err
		}
		t.excluded = append(t.excluded, p.Instance)
		t.fail(err)
	}
}

// chooseTarget chooses a target and makes sure that it holds what the call needs.
func (t *retryState) chooseTarget(ctx context.Context) (destination, error) {
	g, c := t.gateway, t.call
	if p := t.prepared; p != nil {
		t.prepared = nil
		if g.targets.mayContinue(c, *p) { // the stream may have begun after it was chosen
			return *p, nil
		}
	}
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
			return destination{}, fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "no target of service %q takes requests", c.service.Name)
		}
		if ok && p.Agent != "" {
			err := t.ensure(ctx, p.Status)
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

// admitToQueue refuses a call that would miss its latency in its target's queue, where
// it would also delay the calls behind it. The refusal's retry time is the end of that
// queue. All other targets that hold its model are considered before.
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
	return destination{}, fault.NewRetryAfter(fault.Overloaded, request.QueueRetryAfter(wait), "target %s, the best one, has a queue of %v", p.Instance, wait.Round(time.Millisecond))
}

// shouldQueue reports whether the call should join a queue with that wait.
func (t *retryState) shouldQueue(wait time.Duration) bool {
	c := t.call
	spent := t.gateway.config.Now().Sub(c.start)
	return request.ShouldQueue(wait, spent, time.Duration(c.route.LatencyMs)*time.Millisecond, c.waitLimit())
}

// attempt sends the call to a target and forwards its answer.
func (t *retryState) attempt(ctx context.Context, p destination) (again bool) {
	g, c := t.gateway, t.call
	now := g.config.Now()
	a, err := c.attempts.Begin(strconv.Itoa(t.attempts+1), p.Instance, now)
	if err != nil || !c.attempts.HandOver(a, now) {
		t.fail(fault.New(fault.Expired, "the deadline passed before the call was sent to a target"))
		return false
	}
	if t.attempts == 0 {
		g.recordRequest(c.service.Name)
	}
	t.attempts++
	c.record.Attempts, c.record.Target = t.attempts, p.Instance
	c.record.Framing, c.record.AnswerEnd = "", ""
	t.eventsBefore = t.relay.written
	g.targets.recordStart(p)
	t.recordResumed(p)
	outcome := t.exchange(ctx, a, p)
	g.targets.recordFinish(p, outcome.result, g.config.Now().Sub(now))
	if outcome.err == nil {
		c.attempts.MarkFinished(a)
		if c.record.Status/100 == 2 {
			g.quarantine.recordCompleted(c)
		}
		if t.relay.eventStream {
			g.targets.recordRun(c.service.Name, g.config.Now().Sub(c.start.Add(c.record.FirstByte)))
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
	event := events.FailedAttempt{
		Request: c.RequestID, Target: p.Instance, Attempt: t.attempts, Ran: refused.Ran, Cause: outcome.err.Error(),
		Unacknowledged: outcome.unacknowledged, Framing: c.record.Framing, AnswerEnd: c.record.AnswerEnd,
		Events: t.attemptEvents(),
	}
	if outcome.broken {
		t.recordBroken(ctx, p, now, &event)
	}
	again = t.mayRetry(ctx, refused)
	event.Again = again
	g.config.Events.AttemptFailed(event)
	g.config.Metrics.attemptFailed(c.service.Name, refused.Kind)
	if outcome.unacknowledged != 0 {
		g.config.Metrics.attemptUnacknowledged(c.service.Name)
	}
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
	err    error // nil: the complete answer was sent
	notRun bool  // proven: no byte was sent, or the target says so
	result routing.Outcome
	// unacknowledged is how many bytes the target had not acknowledged when the attempt was
	// canceled; -1 if that is not known.
	unacknowledged int
	// broken reports that the target's side ended the connection before the end of the answer.
	broken bool
	end    framing.End // how the answer ended; empty: it was not read to its end
}

// exchange sends the call and handles the answer.
func (t *retryState) exchange(ctx context.Context, a *request.Attempt, p destination) outcome {
	g, c := t.gateway, t.call
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m := t.startMover(ctx, p, cancel)
	defer m.stop()
	answer, err := g.pool.Do(ctx, t.upstreamRequest(p))
	t.recordRetryArrival()
	if err != nil {
		failed := t.sendError(ctx, p, err)
		failed.unacknowledged = upstream.Unacknowledged(err)
		return failed
	}
	g.targets.recordHeard(p.Instance)
	meta := platform.ReadAnswer(answer.Status, answer.Header)
	g.targets.reportLoad(p, meta.Load)
	if meta.RequestID != "" && meta.RequestID != c.RequestID {
		// A late second answer to an earlier request; ours may or may not follow.
		answer.Abort()
		return outcome{err: fault.New(fault.TargetFailed, "the answer belongs to another request"), result: routing.Failed}
	}
	if meta.Instance == "" || meta.Instance == p.Instance {
		g.targets.observeRateLimit(p, meta.RateLimit)
	}
	if answeredBy(p, meta) {
		g.targets.observeNotices(p, meta)
	}
	if meta.NotRun {
		return t.notRunOutcome(p, answer, meta)
	}
	c.attempts.MarkAccepted(a)
	t.relay.senderEnded = func() bool { return t.processEnded(ctx, p) }
	t.relay.began = func() { t.recordOrigin(p) }
	t.relay.received = func() {
		m.watchdog.Reset()
		t.recordEvents()
		g.targets.recordHeard(p.Instance)
	}
	relayed := t.relay.relayAnswer(ctx, answer, meta, t.mayRetryAnswered())
	t.recordAnswerEnd(answer.Framing, relayed.end)
	return relayed
}

// processEnded reports whether the target's process ended unexpectedly.
func (t *retryState) processEnded(ctx context.Context, p destination) bool {
	ended := t.gateway.pool.Probe(context.WithoutCancel(ctx), p.Address) == upstream.Ended
	return request.IsCrash(ended, t.gateway.targets.leaving(p.Instance))
}

// recordAnswerEnd logs and counts how a target's answer ended, unless it was not read to its end.
func (t *retryState) recordAnswerEnd(f framing.Framing, end framing.End) {
	if end == "" {
		return
	}
	t.call.record.Framing, t.call.record.AnswerEnd = f, end
	t.gateway.config.Metrics.answerEnded(t.call.service.Name, f, end)
}

// mayRetryAnswered reports whether a target's 5xx answer may be retried elsewhere
// instead of being forwarded.
func (t *retryState) mayRetryAnswered() bool {
	return t.call.repeatable() && t.maybeRan+1 < int(t.call.route.MaxTargets) && t.attempts < maxAttempts
}

func (t *retryState) upstreamRequest(p destination) *upstream.Request {
	g, c := t.gateway, t.call
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return &upstream.Request{
		Address: p.Address, Method: c.http.Method, RequestURI: c.http.RequestURI, Host: c.http.Host, Body: c.body,
		Header: platform.ForwardHeaders(c.http.Header, platform.Forward{
			Instance: p.Instance, Deadline: c.deadline.Sub(g.config.Now()), Workspace: workspace,
			Rank: c.rank(), LastEvent: t.relay.lastEvent,
		}),
		Expired: func() bool {
			return p.window.Expired(g.config.Now()) || g.targets.checkNotices(p) != nil || g.quarantine.parts.check(c) != nil
		},
		NonRepeatable: !c.repeatable(), KeepAliveTimeout: platform.KeepAliveTimeout,
	}
}

func (t *retryState) sendError(ctx context.Context, p destination, err error) outcome {
	sent := upstream.MaybeSent(err)
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome{err: fault.New(fault.TargetFailed, "target %s did not answer in time", p.Instance), notRun: !sent, result: routing.Failed}
	case errors.Is(context.Cause(ctx), errUnreachable):
		return outcome{err: fault.New(fault.TargetFailed, "the host of target %s does not respond", p.Instance), notRun: !sent, result: routing.Neutral}
	case ctx.Err() != nil:
		return outcome{err: contextError(ctx), notRun: !sent, result: routing.Neutral}
	case errors.Is(err, upstream.ErrExpired):
		return outcome{err: t.expiredError(p), notRun: true, result: routing.Neutral}
	case !sent:
		t.recordUnreachable(p)
		return outcome{err: fault.New(fault.Unavailable, "target %s cannot be reached: %v", p.Instance, err), notRun: true, result: routing.Failed}
	}
	return outcome{err: fault.New(fault.TargetFailed, "target %s broke off: %v", p.Instance, err), result: routing.Failed, broken: true}
}

// expiredError is the error of a call that was about to be sent to a target and must not be: its send
// time has passed, the target has requested a backoff, or a part of the prompt is refused meanwhile.
func (t *retryState) expiredError(p destination) error {
	if err := t.gateway.targets.checkNotices(p); err != nil {
		return err
	}
	if err := t.gateway.quarantine.parts.check(t.call); err != nil {
		return err
	}
	return fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "the send time at target %s has passed", p.Instance)
}

// contextError distinguishes an expired deadline from a caller that disconnected.
func contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.New(fault.Timeout, "the time limit passed")
	}
	return fault.New(fault.Canceled, "the caller has gone")
}

// notRunOutcome handles a target's answer that it did not run the call.
func (t *retryState) notRunOutcome(p destination, answer *upstream.Response, meta platform.Answer) outcome {
	drain(answer)
	if meta.Misdirected {
		t.gateway.targets.recordMisroute(p, meta.Instance)
		return outcome{err: fault.New(fault.NotHere, "target %s does not hold what is asked for", p.Instance), notRun: true, result: routing.Neutral}
	}
	err := fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "target %s is full", p.Instance)
	return outcome{err: err, notRun: true, result: routing.Neutral}
}

// recordMisroute updates the router after a target answered that it is another
// instance, or does not hold the model.
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

package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/platform"
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

// retryState is the state of a call over its attempts. Two of them may be in progress: see mover.
type retryState struct {
	gateway    *Gateway
	call       *call
	relay      *relay
	excluded   []string // targets that failed or refused this call
	lastErr    error
	modelWaits int // number of waits for a model

	targetEnded  bool         // the target's process ended during the attempt that failed last
	retryPending bool         // a retry is granted and not sent yet
	prompt       *sentPrompt  // at the target that was chosen last; nil: none is counted
	moved        *destination // where the next attempt continues the call, chosen when the one before was ended; nil: it is to be chosen
	second       *attempt     // has taken the call over from the attempt before, and begun to answer; nil: none

	mu       sync.Mutex // guards the fields below and the call's attempts; taken alone
	attempts int        // sent to targets, refusals included
	sentTo   []string   // addresses of these targets
	maybeRan int        // targets that may have run it
}

func newRetryState(g *Gateway, c *call, w http.ResponseWriter) *retryState {
	return &retryState{gateway: g, call: c, relay: newRelay(w, c, g)}
}

// run runs a call and forwards its answer. The error is the call's final one, nil when
// a complete answer was sent; answered reports whether its header was sent.
func (g *Gateway) run(ctx context.Context, c *call, w http.ResponseWriter) (answered bool, err error) {
	t := newRetryState(g, c, w)
	if c.needsModel() {
		g.targets.recordDemand(c.Model, c.value())
		g.targets.recordWork(c)
	}
	g.targets.recordOffered(c)
	defer t.release()
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
	if a := t.second; a != nil {
		t.second = nil
		t.relay.next()
		return t.complete(ctx, a)
	}
	if !g.config.Source.Fresh(g.config.Now()) {
		t.fail(errLeaseLapsed)
		return false
	}
	if err := g.checkShutdown(c); err != nil {
		t.fail(err)
		return false
	}
	if t.targetEnded && !t.retryPending && !t.takeRetry() {
		return false // with the error of the attempt; selecting another target may take long
	}
	p, err := t.nextTarget(ctx)
	if err == nil {
		err = g.quarantine.check(c) // it may have crashed targets while it waited
	}
	if err != nil {
		t.fail(err)
		return false
	}
	if t.sentAttempts() > 0 && !t.retryPending && !t.takeRetry() {
		t.fail(fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "the retry budget of service %q is used up", c.service.Name))
		return false
	}
	if !g.maySend() {
		t.fail(errLeaseLapsed)
		return false
	}
	a, err := t.begin(ctx, p, t.relay.lastEvent)
	if err != nil {
		t.fail(err)
		return false
	}
	a.retry, t.retryPending = t.retryPending, false
	t.relay.next()
	return t.complete(ctx, a)
}

// nextTarget returns the target of the next attempt.
func (t *retryState) nextTarget(ctx context.Context) (destination, error) {
	if p := t.moved; p != nil {
		t.moved = nil
		return *p, nil
	}
	return t.selectTarget(ctx)
}

func (t *retryState) sentAttempts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts
}

// takeRetry takes a retry from the fleet's budget.
func (t *retryState) takeRetry() bool {
	t.retryPending = t.gateway.tryRetry(t.call)
	return t.retryPending
}

// release ends what is left of a call that has ended: a granted retry that was not sent, a second attempt
// whose answer is not needed, and a reservation that is not used. A prompt that was not sent does not count any more.
func (t *retryState) release() {
	t.gateway.targets.endPrompt(t.prompt)
	if t.retryPending {
		t.gateway.returnRetry(t.call.service.Name)
	}
	if t.second != nil {
		t.discard(t.second)
	}
	if t.moved != nil {
		t.gateway.releasePlace(*t.moved)
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
		p, err = t.pacePrompt(ctx, p)
		if err == nil {
			err = t.prepareSend(ctx, &p)
		}
		if err == nil || ctx.Err() != nil || err == errLeaseLapsed {
			return p, err
		}
		t.gateway.targets.endPrompt(t.prompt)
		t.prompt = nil
		t.excluded = append(t.excluded, p.Instance)
		t.fail(err)
	}
}

// prepareSend waits until the call may be sent to a target.
func (t *retryState) prepareSend(ctx context.Context, p *destination) error {
	if err := t.reserveSend(ctx, p); err != nil {
		return err
	}
	return t.checkSend(*p)
}

// checkSend returns an error if the call must not be sent to a target now.
func (t *retryState) checkSend(p destination) error {
	if err := t.gateway.checkView(p); err != nil {
		return err
	}
	return t.gateway.targets.checkNotices(p)
}

// chooseTarget chooses a target and makes sure that it holds what the call needs.
func (t *retryState) chooseTarget(ctx context.Context) (destination, error) {
	for {
		d := t.decide()
		switch {
		case d.step == stepSend || d.step == stepRefuse:
			return d.target, d.err
		case d.step == stepLoadAdapter:
			err := t.ensure(ctx, d.target.Status)
			if err == nil {
				return d.target, nil
			}
			t.excluded = append(t.excluded, d.target.Instance)
			if ctx.Err() != nil {
				return destination{}, err
			}
		case t.awaitTargets(ctx):
		case d.step == stepNoTarget:
			return destination{}, d.err
		default:
			return t.loadModel(ctx)
		}
	}
}

// admitToQueue refuses a call that would miss its latency in its target's queue, where
// it would also delay the calls behind it. The refusal's retry time is the end of that
// queue. All other targets that hold its model are considered before.
func (t *retryState) admitToQueue(p destination) (destination, error) {
	if !t.limitsQueue() {
		return p, nil
	}
	wait := t.gateway.targets.queueWait(p)
	if t.shouldQueue(wait) {
		return t.noteEstimate(p, wait), nil
	}
	p = t.gateway.targets.leastLoaded(p)
	wait = t.gateway.targets.queueWait(p)
	p = t.noteEstimate(p, wait)
	if t.shouldQueue(wait) {
		return p, nil
	}
	return destination{}, fault.NewRetryAfter(fault.Overloaded, t.queueRetryAfter(wait), "target %s, the best one, has a queue of %v", p.Instance, wait.Round(time.Millisecond))
}

// limitsQueue reports whether the call is refused if its target's queue is too long.
func (t *retryState) limitsQueue() bool {
	c := t.call
	return c.needsModel() && c.route.Streaming && !t.relay.headerSent
}

// shouldQueue reports whether the call should join a queue with that wait.
func (t *retryState) shouldQueue(wait time.Duration) bool {
	c := t.call
	spent := t.gateway.config.Now().Sub(c.start)
	return request.ShouldQueue(wait, spent, time.Duration(c.route.LatencyMs)*time.Millisecond, c.waitLimit())
}

// outcome is how an attempt ended.
type outcome struct {
	err    error // nil: the complete answer was sent
	notRun bool  // proven: no byte was sent, or the target says so
	result routing.Outcome
	// unacknowledged is how many bytes the target had not acknowledged when the attempt was
	// canceled; -1 if that is not known.
	unacknowledged int
	// superfluous reports that the attempt was canceled because another one answers the call.
	superfluous bool
	// broken reports that the target's side ended the connection before the end of the answer.
	broken bool
	end    framing.End // how the answer ended; empty: it was not read to its end
}

// mayRetryAnswered reports whether a target's 5xx answer may be retried elsewhere
// instead of being forwarded.
func (t *retryState) mayRetryAnswered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.call.repeatable() && t.maybeRan+1 < int(t.call.route.MaxTargets) && t.attempts < maxAttempts
}

func (t *retryState) upstreamRequest(a *attempt) *upstream.Request {
	g, c, p := t.gateway, t.call, a.target
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return &upstream.Request{
		Address: p.Address, Method: c.http.Method, RequestURI: c.http.RequestURI, Host: c.http.Host, Body: c.body(),
		Header: platform.ForwardHeaders(c.http.Header, platform.Forward{
			Instance: p.Instance, Deadline: c.deadline.Sub(g.config.Now()), Workspace: workspace,
			Rank: c.rank(), LastEvent: a.lastEvent, Reservation: p.reservation,
		}),
		Expired: func() bool {
			return p.window.Expired(g.config.Now()) || g.targets.checkNotices(p) != nil || g.quarantine.parts.check(c) != nil || g.checkShutdown(c) != nil
		},
		NonRepeatable: !c.repeatable(), NewConnection: a.sentBefore, KeepAliveTimeout: platform.KeepAliveTimeout,
	}
}

func (t *retryState) sendError(ctx context.Context, p destination, err error) outcome {
	sent := upstream.MaybeSent(err)
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome{err: fault.New(fault.TargetFailed, "target %s did not answer in time", p.Instance), notRun: !sent, result: routing.Failed}
	case errors.Is(context.Cause(ctx), errUnreachable):
		return outcome{err: fault.New(fault.TargetFailed, "the host of target %s does not respond", p.Instance), notRun: !sent, result: routing.Neutral}
	case errors.Is(context.Cause(ctx), errTooLate):
		return outcome{err: fault.New(fault.Timeout, "target %s: %v", p.Instance, errTooLate), notRun: !sent, result: routing.Neutral}
	case errors.Is(context.Cause(ctx), errOutdated):
		o := canceledOutcome(errOutdated)
		o.notRun = !sent
		return *o
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
// time has passed, the target has requested a backoff, a part of the prompt is refused meanwhile, or this host
// stops too soon.
func (t *retryState) expiredError(p destination) error {
	if err := t.gateway.targets.checkNotices(p); err != nil {
		return err
	}
	if err := t.gateway.quarantine.parts.check(t.call); err != nil {
		return err
	}
	if err := t.gateway.checkShutdown(t.call); err != nil {
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
	answer.Discard()
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

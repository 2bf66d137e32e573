package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
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

// attempt is one attempt of a call at a target.
type attempt struct {
	number    int // of the call's attempts, from 1
	target    destination
	state     *request.Attempt
	began     time.Time
	lastEvent string // after which the target continues a stream; empty: from the caller's
	retry     bool   // it was taken from the retry budget
	// sentBefore reports that an earlier attempt was sent to the target's address, which another target had then.
	sentBefore bool
	ctx        context.Context
	cancel     context.CancelCauseFunc
	answer     *upstream.Response // set when the target has begun to answer
	meta       platform.Answer    // of the answer
	end        framing.End        // how the answer ended; empty: it was not read to its end
	events     uint64             // that it has brought and that are forwarded
	begun      bool               // its first event was received; used by the call's goroutine only

	sent      request.SentRequest
	waitEnded bool // see endWait
}

// begin begins an attempt, which is then to be sent. Errors: fault.Expired; fault.Leaving if this host stops before its
// answer could end.
func (t *retryState) begin(ctx context.Context, p destination, lastEvent string) (*attempt, error) {
	g, c := t.gateway, t.call
	if g.checkShutdown(c) != nil || !c.maySend() {
		return nil, errLate
	}
	a := &attempt{target: p, began: g.config.Now(), lastEvent: lastEvent}
	if !t.handOver(a) {
		return nil, fault.New(fault.Expired, "the deadline passed before the call was sent to a target")
	}
	if a.number == 1 {
		g.recordRequest(c.service.Name)
	}
	a.target.prompt = g.targets.startPrompt(c, p)
	a.sent = g.targets.recordStart(p)
	t.recordResumed(p, lastEvent)
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a, nil
}

// handOver reports whether an attempt may be sent.
func (t *retryState) handOver(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.number = t.attempts + 1
	state, err := t.call.attempts.Begin(strconv.Itoa(a.number), a.target.Instance, a.began)
	if err != nil || !t.call.attempts.HandOver(state, a.began) {
		return false
	}
	a.state = state
	t.attempts++
	a.sentBefore = slices.Contains(t.sentTo, a.target.Address)
	t.sentTo = append(t.sentTo, a.target.Address)
	return true
}

// complete forwards the answer of an attempt, which is sent unless its target has begun to answer. It
// reports whether another attempt should follow.
func (t *retryState) complete(ctx context.Context, a *attempt) (again bool) {
	g, c := t.gateway, t.call
	c.record.Target, c.record.Framing, c.record.AnswerEnd = a.target.Instance, "", ""
	c.record.Sender, c.record.TargetLeaving = "", false
	o := t.exchange(ctx, a)
	c.record.Attempts = t.sentAttempts()
	if a.end != "" {
		c.record.Framing, c.record.AnswerEnd = a.answer.Framing, a.end
		g.config.Metrics.answerEnded(c.service.Name, a.answer.Framing, a.end)
	}
	c.targetBroke = o.broken
	t.endWait(a)
	g.targets.recordFinish(a.target, o.result, g.config.Now().Sub(a.began))
	if o.err != nil {
		return t.recordFailed(ctx, a, o, func(failed *fault.Error) bool { return t.mayRetry(ctx, failed) })
	}
	t.finishAttempts(a)
	if c.record.Status/100 == 2 {
		g.quarantine.recordCompleted(c)
	}
	if t.relay.eventStream {
		took := g.config.Now().Sub(c.start.Add(c.record.FirstByte))
		g.targets.recordRun(a.target, c, took)
		g.targets.recordOutput(c, a, took)
	}
	t.lastErr = nil
	return false
}

// exchange sends an attempt, unless its target has begun to answer, and handles the answer.
func (t *retryState) exchange(ctx context.Context, a *attempt) outcome {
	defer a.cancel(nil)
	m := t.startMover(ctx, a)
	o := t.sendAndRelay(a, m)
	m.stop(o.err == nil)
	return o
}

func (t *retryState) sendAndRelay(a *attempt, m *mover) outcome {
	if a.answer == nil {
		if failed := t.send(a); failed != nil {
			return *failed
		}
		m.received()
	}
	t.relay.sender = func() framing.Sender { return t.probeSender(a.ctx, a.target) }
	t.relay.claimed = func() {
		a.events++
		t.setOrigin(a.target)
	}
	t.relay.beganFirst = t.recordOrigin
	t.relay.received = func() {
		m.received()
		t.recordFirst(a)
		t.observeWait(a)
		t.recordEvents(a)
		t.gateway.targets.recordHeard(a.target.Instance)
	}
	o := t.relay.relayAnswer(a.ctx, a.answer, a.meta, t.mayRetryAnswered())
	a.end = o.end
	return o
}

// recordFirst handles the first event of an attempt.
func (t *retryState) recordFirst(a *attempt) {
	if !a.begun && t.relay.eventStream {
		a.begun = true
		t.gateway.targets.recordFirstEvent(t.call, a)
	}
}

// send sends an attempt and returns when its target has begun to answer, or the failure.
func (t *retryState) send(a *attempt) (failed *outcome) {
	g, c, p := t.gateway, t.call, a.target
	answer, err := g.pool.Do(a.ctx, t.upstreamRequest(a))
	if a.retry {
		g.recordRetryArrival(c.service.Name)
	}
	if err != nil {
		o := t.sendError(a.ctx, p, err)
		o.unacknowledged = upstream.Unacknowledged(err)
		return &o
	}
	g.targets.recordHeard(p.Instance)
	meta := platform.ReadAnswer(answer.Status, answer.Header)
	g.targets.reportLoad(p, meta.Load)
	if !isAnswerTo(c, meta, answer) {
		// A late second answer to an earlier request; ours may or may not follow.
		answer.Abort()
		return &outcome{err: fault.New(fault.TargetFailed, "the answer belongs to another request"), result: routing.Failed}
	}
	if meta.Instance == "" || meta.Instance == p.Instance {
		g.targets.observeRateLimit(p, meta.RateLimit)
	}
	if answeredBy(p, meta) {
		g.targets.observeSpeed(p, meta.Load)
		g.targets.observeNotices(p, meta)
	}
	if meta.NotRun && meta.RequestID != c.RequestID {
		// It may be a late refusal of an earlier request, so it does not prove that this one has not run.
		answer.Abort()
		return &outcome{err: fault.New(fault.TargetFailed, "the refusal of target %s names no request", p.Instance), result: routing.Failed}
	}
	if meta.NotRun {
		o := t.notRunOutcome(p, answer, meta)
		return &o
	}
	t.mu.Lock()
	c.attempts.MarkAccepted(a.state)
	t.mu.Unlock()
	a.answer, a.meta = answer, meta
	return nil
}

// isAnswerTo reports whether an answer is the present request's. One that names no request may be a second answer to the
// request before on its connection, which is not used again then.
func isAnswerTo(c *call, meta platform.Answer, answer *upstream.Response) bool {
	if meta.RequestID != "" || c.RequestID == "" {
		return meta.RequestID == "" || meta.RequestID == c.RequestID
	}
	answer.CloseAfter()
	return !answer.Reused
}

// awaitAnswer waits until a target that has sent a header has sent as much of a plain answer as is buffered before
// it is forwarded. It returns the failure otherwise.
func (t *retryState) awaitAnswer(a *attempt) (failed *outcome) {
	if a.answer.Status >= http.StatusInternalServerError {
		a.answer.Discard()
		return &outcome{err: fault.New(fault.TargetFailed, "the target answered %d", a.answer.Status), result: routing.Failed}
	}
	err := readFirst(a)
	if err == nil {
		return nil
	}
	a.answer.Abort()
	if cause := context.Cause(a.ctx); cause != nil {
		return canceledOutcome(cause)
	}
	return &outcome{err: fault.New(fault.StreamBroken, "the target broke off: %v", err), result: routing.Failed, broken: true}
}

// readFirst reads the first part of an answer, which is then read again with the rest.
func readFirst(a *attempt) error {
	var first bytes.Buffer
	_, err := io.Copy(&first, io.LimitReader(a.answer.Body, bufferedAnswerBytes))
	a.answer.Body = io.MultiReader(&first, a.answer.Body)
	return err
}

// canceledOutcome is the outcome of a second attempt that this host canceled.
func canceledOutcome(cause error) *outcome {
	superfluous := errors.Is(cause, errOutdated)
	return &outcome{err: fault.New(fault.Canceled, "%v", cause), result: routing.Neutral, superfluous: superfluous}
}

// finishAttempts records that an attempt has answered the call.
func (t *retryState) finishAttempts(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.call.attempts.MarkFinished(a.state)
}

// recordFailed records a failed attempt. again decides whether another one follows.
func (t *retryState) recordFailed(ctx context.Context, a *attempt, o outcome, again func(*fault.Error) bool) bool {
	g, c := t.gateway, t.call
	failed := t.failAttempt(a, o)
	t.fail(o.err)
	if !o.superfluous {
		t.excluded = append(t.excluded, a.target.Instance)
	}
	event := events.FailedAttempt{
		Request: c.RequestID, Target: a.target.Instance, Attempt: a.number, Ran: failed.Ran, Cause: o.err.Error(),
		Unacknowledged: o.unacknowledged, AnswerEnd: a.end, Events: a.events,
	}
	if a.end != "" {
		event.Framing = a.answer.Framing
	}
	if o.broken {
		t.recordBroken(ctx, a, &event)
	}
	t.targetEnded = event.TargetEnded
	event.Again = again(failed)
	g.config.Events.AttemptFailed(event)
	g.config.Metrics.attemptFailed(c.service.Name, failed.Kind)
	if o.unacknowledged != 0 {
		g.config.Metrics.attemptUnacknowledged(c.service.Name)
	}
	return event.Again
}

func (t *retryState) failAttempt(a *attempt, o outcome) *fault.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := t.call.attempts.Fail(a.state, o.err, o.notRun)
	if failed.Ran != fault.RanNo {
		t.maybeRan++
	}
	return failed
}

// mayRetry reports whether the call may go to another target after a failed attempt.
func (t *retryState) mayRetry(ctx context.Context, failed *fault.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if t.second != nil || t.moved != nil {
		return true
	}
	c := t.call
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.attempts >= maxAttempts:
		return false
	case t.relay.headerSent && !t.relay.resumable():
		return false
	case failed.Kind == fault.Timeout:
		return false
	case failed.Ran == fault.RanNo:
		return true
	}
	return c.repeatable() && t.maybeRan < int(c.route.MaxTargets)
}

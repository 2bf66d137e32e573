package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Causes of a canceled attempt whose call another attempt continues.
var (
	errSilent      = errors.New("no answer from the target in time")
	errUnreachable = errors.New("the target's host does not respond")
	errOutdated    = errors.New("the call's first target responds")
)

// Limits of waiting for a target that sends nothing.
const (
	// silenceLatencyFactor times the target latency without an answer, a repeatable call is
	// retried elsewhere: the target or its connection hangs. A factor of 3 is past the time
	// of an answer's full value and leaves most of the time for the next attempt.
	silenceLatencyFactor = 3
	// minSilence keeps a short target latency from moving calls that a target has
	// just queued.
	minSilence = 250 * time.Millisecond
	// streamSilenceShare is the share of the caller's wait limit that a stream may be
	// silent.
	streamSilenceShare = 0.6
	// maxSecondProbes bounds the targets that are probed for one second attempt.
	maxSecondProbes = 3
	// alternativeInterval is the interval after which another target is looked for again.
	alternativeInterval = 250 * time.Millisecond
)

// mover has another target continue a call whose target does not respond. A plain call gets a second attempt
// beside the first, which is canceled when the second has begun to answer. A stream leaves its target before it is
// sent to another one: two targets must not run one stream, and an entry host that gets no processor cannot end
// one of them in time. See request.Handover. Calls that may not be retried stay.
type mover struct {
	retry    *retryState
	call     context.Context // of the call
	first    *attempt
	watchdog *watchdog
	late     *lateTimer
	work     sync.WaitGroup

	silenceLimit time.Duration

	mu         sync.Mutex // guards the fields below; taken alone
	stopped    bool       // the attempt has ended
	searching  bool       // a second attempt is in progress, or a target for it is being looked for
	receivedAt time.Time  // when the attempt began, or its target sent something last
	askedAgent bool       // an agent was asked to load the call's model elsewhere; only the search uses it
}

// startMover watches an attempt whose call may be retried elsewhere. Other calls stay: they may
// be running.
func (t *retryState) startMover(ctx context.Context, a *attempt) *mover {
	m := &mover{
		retry: t, call: ctx, first: a, watchdog: &watchdog{}, late: t.startLateTimer(a),
		silenceLimit: t.silenceLimit(), receivedAt: t.gateway.config.Now(),
	}
	if !t.mayRetryAnswered() {
		return m
	}
	m.watchdog = newWatchdog(m.silenceLimit, m.check)
	t.gateway.targets.addWatcher(a.target.Instance, m)
	return m
}

// silenceLimit is how long a target that responds to probes may be silent. A target with a queue
// is silent too, so a stream is left there until most of its caller's wait limit is used up.
func (t *retryState) silenceLimit() time.Duration {
	c := t.call
	if c.route.Streaming {
		return time.Duration(streamSilenceShare * float64(c.waitLimit()))
	}
	return max(minSilence, silenceLatencyFactor*time.Duration(c.route.LatencyMs)*time.Millisecond)
}

// received records that the attempt's target has sent something.
func (m *mover) received() {
	m.watchdog.Reset()
	now := m.retry.gateway.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receivedAt = now
}

// stop ends the mover and waits for it. The attempt has ended. If it has failed, a second attempt in
// progress is the call's next one; otherwise it is canceled.
func (m *mover) stop(answered bool) {
	m.watchdog.Stop()
	m.late.stop()
	m.retry.gateway.targets.removeWatcher(m.first.target.Instance, m)
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.retry.relay.end(answered)
	m.first.cancel(nil)
	m.work.Wait()
}

func (m *mover) isStopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped
}

// check begins a second attempt if it is due. It does not wait.
func (m *mover) check() {
	unreachable := m.retry.gateway.targets.unreachable(m.first.target.Instance)
	if !m.begin(unreachable) {
		return
	}
	go func() {
		defer m.end()
		m.moveOn(unreachable)
	}()
}

// begin reports whether a second attempt is due and none is in progress.
func (m *mover) begin(unreachable bool) bool {
	now := m.retry.gateway.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	due := unreachable || now.Sub(m.receivedAt) >= m.silenceLimit
	if m.stopped || m.searching || !due {
		return false
	}
	m.searching = true
	m.work.Add(1)
	return true
}

func (m *mover) end() {
	m.mu.Lock()
	m.searching = false
	m.mu.Unlock()
	m.work.Done()
}

// moveOn makes a second attempt.
func (m *mover) moveOn(unreachable bool) {
	if !m.retry.mayRetryAnswered() || !m.retry.relay.mayMove() {
		return
	}
	lastEvent, _ := m.retry.relay.position()
	p, ok := m.chooseSecond(unreachable)
	if !ok {
		return
	}
	if m.retry.call.route.Streaming {
		m.leaveFor(p, lastEvent, unreachable)
		return
	}
	second := m.beginSecond(p)
	if second == nil {
		return
	}
	if failed := m.send(second); failed != nil {
		m.retry.failSecond(m.call, second, *failed)
		return
	}
	m.handOver(second, unreachable)
}

// leaveFor ends the first attempt of a stream once another target has reserved a place for it. The call's next
// attempt continues there after lastEvent.
func (m *mover) leaveFor(p destination, lastEvent string, unreachable bool) {
	t := m.retry
	if lastEvent != "" && !t.gateway.targets.mayContinue(t.call, p) || !t.gateway.tryRetry(t.call) {
		t.relay.secondFailed()
		return
	}
	p, err := t.gateway.reserve(m.first.ctx, t.call, p)
	if err != nil && m.first.ctx.Err() == nil {
		t.excluded = append(t.excluded, p.Instance)
	}
	if err != nil || !t.relay.leave(lastEvent, func() { m.leave(p, unreachable) }) {
		t.relay.secondFailed()
		t.gateway.returnRetry(t.call.service.Name)
		t.gateway.releasePlace(p)
		return
	}
	t.gateway.config.Metrics.attemptMoved(t.call.service.Name, unreachable)
	t.gateway.config.Events.AttemptMoved(t.call.RequestID, m.first.target.Instance, p.Instance, unreachable, p.reservation != "")
}

// leave ends the first attempt, for which a retry has been taken.
func (m *mover) leave(p destination, unreachable bool) {
	m.retry.moved, m.retry.retryPending = &p, true
	m.first.cancel(causeOfMove(unreachable))
}

// causeOfMove is why a first attempt is canceled.
func causeOfMove(unreachable bool) error {
	if unreachable {
		return errUnreachable
	}
	return errSilent
}

// chooseSecond chooses the target of a second attempt. For a target that responds to probes no other one
// loads the model: a queue is the likely reason of its silence, and a load would take a busy copy's place.
func (m *mover) chooseSecond(unreachable bool) (destination, bool) {
	t := m.retry
	p, ok := m.respondingElsewhere()
	if !ok && unreachable {
		p, ok = m.loadElsewhere()
	}
	if !ok {
		return destination{}, false
	}
	err := t.prepareSend(m.first.ctx, &p)
	if err == nil {
		err = t.gateway.quarantine.check(t.call)
	}
	if err == nil {
		err = t.gateway.checkShutdown(t.call)
	}
	if err != nil {
		t.relay.secondFailed()
	}
	return p, err == nil
}

// respondingElsewhere returns another target that holds what the call needs and has responded since the
// first one did. Targets often pause together, and a second attempt may be the call's last.
func (m *mover) respondingElsewhere() (destination, bool) {
	t := m.retry
	excluded := append(slices.Clone(t.excluded), m.first.target.Instance)
	for range maxSecondProbes {
		p, ok := m.heldElsewhere(excluded)
		if !ok || t.gateway.hasResponded(m.first.ctx, p, m.lastReceived()) {
			return p, ok
		}
		excluded = append(excluded, p.Instance)
	}
	return destination{}, false
}

func (m *mover) lastReceived() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.receivedAt
}

// heldElsewhere returns another target that holds what the call needs and has room for it.
func (m *mover) heldElsewhere(excluded []string) (destination, bool) {
	t := m.retry
	targets := t.gateway.targets
	p, held, ok := targets.pick(t.call, excluded)
	if !ok || !held {
		return destination{}, false
	}
	if targets.queueWait(p) > 0 {
		p = targets.leastLoaded(p)
	}
	return p, t.isInTime(targets.queueWait(p))
}

// isInTime reports whether an answer that begins after a wait reaches the caller before it gives up.
func (t *retryState) isInTime(wait time.Duration) bool { return wait < t.answerTime() }

// answerTime returns the time that is left for an answer to begin and reach the caller before it gives up; not
// positive: it is too late.
func (t *retryState) answerTime() time.Duration {
	lastEvent := time.Duration(t.relay.lastEventAfter.Load())
	return t.call.waitDeadline(lastEvent).Sub(t.gateway.config.Now()) - ensureMargin
}

// loadElsewhere has the call's model loaded at another target, if that can be in time. The
// attempt stays meanwhile: its target may respond again.
func (m *mover) loadElsewhere() (destination, bool) {
	t := m.retry
	if m.askedAgent || !t.call.needsModel() {
		return destination{}, false
	}
	m.askedAgent = true
	p, err := t.loadModel(m.first.ctx)
	if err != nil || !t.gateway.targets.unreachable(m.first.target.Instance) {
		return destination{}, false
	}
	return p, t.gateway.targets.mayContinue(t.call, p)
}

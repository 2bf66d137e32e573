package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Causes of a canceled attempt whose call goes to another target.
var (
	errSilent      = errors.New("no answer from the target in time")
	errUnreachable = errors.New("the target's host does not respond")
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
	// alternativeInterval is the interval after which another target is looked for again.
	alternativeInterval = 250 * time.Millisecond
)

// mover moves an attempt to another target if its own does not respond. The zero value moves
// none.
type mover struct {
	retry    *retryState
	from     destination
	ctx      context.Context // of the attempt
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	work     sync.WaitGroup

	mu         sync.Mutex // guards the fields below; taken alone
	stopped    bool       // the attempt has ended
	searching  bool       // another target is being looked for
	askedAgent bool       // an agent was asked to load the call's model elsewhere
}

// startMover watches an attempt whose call may be retried elsewhere. Other calls stay: they may
// be running.
func (t *retryState) startMover(ctx context.Context, p destination, cancel context.CancelCauseFunc) *mover {
	m := &mover{retry: t, from: p, ctx: ctx, cancel: cancel, watchdog: &watchdog{}}
	if !t.mayRetryAnswered() {
		return m
	}
	m.watchdog = newWatchdog(t.silenceLimit(), m.leaveSilent)
	t.gateway.targets.addMover(m)
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

// stop ends the mover and waits for it. The attempt has ended.
func (m *mover) stop() {
	m.watchdog.Stop()
	m.retry.gateway.targets.removeMover(m)
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.cancel(nil)
	m.work.Wait()
}

// leaveSilent moves the attempt if another target holds what the call needs. Otherwise it stays:
// leaving would only lose its position in the queue.
func (m *mover) leaveSilent() (done bool) {
	if !m.begin() {
		return false
	}
	defer m.end()
	return m.heldElsewhere() && m.move(errSilent)
}

// leave begins to look for another target for an attempt at an unreachable one. It does not wait.
func (m *mover) leave() {
	if !m.begin() {
		return
	}
	go func() {
		defer m.end()
		if m.heldElsewhere() || m.loadElsewhere() {
			m.move(errUnreachable)
		}
	}()
}

// begin reports whether a search may begin: the attempt has not ended, and no search is running.
func (m *mover) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.searching {
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

// heldElsewhere reports whether another target holds what the call needs.
func (m *mover) heldElsewhere() bool {
	t := m.retry
	_, held, ok := t.gateway.targets.pick(t.call, append(slices.Clone(t.excluded), m.from.Instance))
	return ok && held
}

// loadElsewhere has the call's model loaded at another target, if that can be in time. The
// attempt stays meanwhile: its target may respond again.
func (m *mover) loadElsewhere() bool {
	t := m.retry
	if m.askedAgent || !t.call.needsModel() || !t.relay.movable.Load() {
		return false
	}
	m.askedAgent = true
	p, err := t.loadModel(m.ctx)
	if err != nil || !t.gateway.targets.unreachable(m.from.Instance) {
		return false
	}
	t.prepared = &p
	return true
}

// move cancels the attempt so that the next one follows, unless the call cannot continue elsewhere
// or the retry budget is used up.
func (m *mover) move(cause error) bool {
	t := m.retry
	if !t.relay.movable.Load() || m.ctx.Err() != nil {
		return false
	}
	if !t.gateway.tryRetry(t.call) {
		return false
	}
	t.retryGranted = true
	t.gateway.config.Metrics.attemptMoved(t.call.service.Name, cause == errUnreachable)
	t.gateway.config.Events.AttemptMoved(t.call.RequestID, m.from.Instance, cause == errUnreachable)
	m.cancel(cause)
	return true
}

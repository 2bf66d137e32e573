package gateway

import (
	"context"
	"time"

	"cowsliptiller/coord/fault"
)

// beginSecond begins the second attempt; nil: the first one has continued the answer, or the retry
// budget is used up.
func (m *mover) beginSecond(p destination) *attempt {
	t := m.retry
	if !t.gateway.tryRetry(t.call) {
		t.relay.secondFailed()
		return nil
	}
	ctx, cancel := context.WithCancelCause(m.call)
	if t.relay.beginSecond(cancel) {
		second, err := t.begin(ctx, p, "")
		if err == nil {
			second.retry = true
			return second
		}
		t.relay.secondFailed()
	}
	cancel(nil)
	t.gateway.returnRetry(t.call.service.Name)
	return nil
}

// send sends the second attempt and returns when its target has begun to answer, or the failure.
func (m *mover) send(second *attempt) (failed *outcome) {
	targets := m.retry.gateway.targets
	targets.handoverBegan(m.first.target.Instance)
	defer targets.handoverEnded(m.first.target.Instance)
	begun := make(chan struct{})
	defer close(begun)
	go m.watchSecond(second, begun)
	if failed := m.retry.send(second); failed != nil {
		return failed
	}
	return m.retry.awaitAnswer(second)
}

// secondCheckInterval is the interval between checks of a second attempt that has not begun to answer.
const secondCheckInterval = 25 * time.Millisecond

// watchSecond cancels a second attempt that is to end before it has begun to answer, as long as the first
// one is in progress.
func (m *mover) watchSecond(second *attempt, begun <-chan struct{}) {
	ticker := time.NewTicker(secondCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-begun:
			return
		case <-ticker.C:
		}
		now := m.retry.gateway.config.Now()
		if cause := m.endOfSecond(second, now); cause != nil && !m.isStopped() {
			second.cancel(cause)
		}
	}
}

// endOfSecond returns why a second attempt is to end; nil: it is not.
func (m *mover) endOfSecond(second *attempt, now time.Time) error {
	switch {
	case m.retry.gateway.targets.unreachable(second.target.Instance):
		return errUnreachable
	case now.Sub(second.began) >= m.silenceLimit:
		return errSilent
	}
	return nil
}

// handOver cancels the first attempt, unless it has continued the answer meanwhile.
func (m *mover) handOver(second *attempt, unreachable bool) {
	t := m.retry
	if !t.relay.takeOver(func() { m.first.cancel(causeOfMove(unreachable)) }) {
		t.discard(second)
		return
	}
	t.second = second
	t.gateway.config.Metrics.attemptMoved(t.call.service.Name, unreachable)
	t.gateway.config.Events.AttemptMoved(t.call.RequestID, m.first.target.Instance, second.target.Instance, unreachable, false)
}

// discard ends a second attempt that the first one has made superfluous.
func (t *retryState) discard(second *attempt) {
	second.answer.Abort()
	second.cancel(errOutdated)
	t.failSecond(context.Background(), second, *canceledOutcome(errOutdated))
}

// failSecond records the end of a second attempt whose call is still at its first target.
func (t *retryState) failSecond(ctx context.Context, second *attempt, o outcome) {
	g := t.gateway
	t.endWait(second)
	g.targets.recordFinish(second.target, o.result, g.config.Now().Sub(second.began))
	t.recordFailed(ctx, second, o, func(*fault.Error) bool { return true })
	t.relay.secondFailed()
	second.cancel(nil)
}

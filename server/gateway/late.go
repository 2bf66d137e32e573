package gateway

import (
	"errors"
	"sync"
	"time"
)

// errTooLate is the cause of a canceled attempt whose answer would come after its caller has left.
var errTooLate = errors.New("the target's host does not respond, and its answer would come too late")

// lateTimer ends an attempt at a target whose host does not respond, shortly before the caller leaves. The caller gets
// an error instead of nothing, and the connection is reset before the target can work on what nobody waits for. Calls
// that may run once stay: their target may have them done.
type lateTimer struct {
	retry   *retryState
	attempt *attempt

	mu      sync.Mutex // guards the fields below; taken alone
	timer   *time.Timer
	stopped bool
}

func (t *retryState) startLateTimer(a *attempt) *lateTimer {
	l := &lateTimer{retry: t, attempt: a, stopped: !t.call.repeatable()}
	if !l.stopped {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.timer = time.AfterFunc(t.answerTime(), l.check)
	}
	return l
}

// check cancels the attempt if it is due, or is called again.
func (l *lateTimer) check() {
	left := l.retry.answerTime()
	if left <= 0 && l.retry.gateway.targets.unreachable(l.attempt.target.Instance) {
		l.attempt.cancel(errTooLate)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.timer.Reset(max(left, reachabilityInterval))
	}
}

// stop stops the timer. It does not wait for a check in progress.
func (l *lateTimer) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	if l.timer != nil {
		l.timer.Stop()
	}
}

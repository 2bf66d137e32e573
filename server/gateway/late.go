package gateway

import (
	"errors"
	"sync"
	"time"
)

// errTooLate is the cause of an attempt that a lateTimer has canceled.
var errTooLate = errors.New("the target's host does not respond, and its answer would come too late")

// lateTimer cancels an attempt at a target whose host does not respond once an answer cannot reach the caller in time.
// The caller gets an error instead of no answer, and the target does not work on a call whose caller has left. Calls
// that may run once are not canceled: the target may complete them.
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

// check cancels the attempt if it is too late for an answer and the target's host does not respond. Otherwise it
// schedules the next check.
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

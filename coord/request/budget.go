package request

import (
	"math/rand"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: a target or a network path fails for many calls at once, or a fleet is
// past its capacity and refuses.
//
// Without a budget, each failed call is sent again and the load on what is left
// multiplies just when it can take least, so that a short fault becomes a lasting one.
//
// Thresholds: retries and hedges together are at most a tenth of successes, with a
// reserve of ten so that a quiet host can retry at all ("The Site Reliability
// Workbook" and the gRPC retry design, A6, use the same order). A refusal for overload
// costs the target next to nothing and puts the call back into its place at the entry
// host, behind a window that the refusal has cut: one for each success may go on so,
// which ends as soon as targets only refuse.

const (
	retryShare   = 0.1
	retryReserve = 10.0
	queueShare   = 1.0
	queueReserve = 64.0
	backoffFirst = 10 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
	// MaxAttempts bounds the attempts of one call that reached a target.
	MaxAttempts = 3
)

// RetryBudget allows retries as a share of successes.
type RetryBudget struct {
	retries float64
	queued  float64 // calls that may go back to wait after a refusal for overload
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{retries: retryReserve, queued: queueReserve}
}

// Success notes a call that was answered.
func (b *RetryBudget) Success() {
	b.retries = min(retryReserve, b.retries+retryShare)
	b.queued = min(queueReserve, b.queued+queueShare)
}

func take(budget *float64) bool {
	if *budget < 1 {
		return false
	}
	*budget--
	return true
}

// Retry decides whether a call goes on after a failed attempt and after which pause.
// A refusal that only corrects the view (not_here, leaving) goes on at once and needs
// no budget. After a refusal for overload the call waits for its turn again
// (Admission.Again); without budget the refusal is the final answer.
func (b *RetryBudget) Retry(c *Call, e *fault.Error, now time.Time, r *rand.Rand) (pause time.Duration, again bool) {
	if !c.MayRepeat() || c.Reached() >= MaxAttempts || !retryable(e) {
		return 0, false
	}
	if moved(e.Kind) {
		return 0, now.Before(c.Deadline)
	}
	// The random part comes on top of what the target told, or all that it refused
	// together would come back together.
	pause = e.RetryAfter + backoff(c.Attempts(), r)
	if !now.Add(pause).Before(c.Deadline) || !take(b.of(e.Kind)) {
		return 0, false
	}
	return pause, true
}

// of returns the budget that a retry after an error of a kind comes from.
func (b *RetryBudget) of(k fault.Kind) *float64 {
	if k == fault.Overloaded {
		return &b.queued
	}
	return &b.retries
}

// retryable reports whether another target may do better.
func retryable(e *fault.Error) bool {
	switch e.Kind {
	case fault.NotHere, fault.Leaving, fault.Overloaded, fault.Unavailable, fault.TargetFailed, fault.StreamBroken:
		return true
	default:
		return false
	}
}

// moved reports whether the refusal only says that the view was old.
func moved(k fault.Kind) bool {
	return k == fault.NotHere || k == fault.Leaving
}

// backoff doubles with each attempt and takes a random part of it (full jitter), so
// that calls that failed together do not come back together.
func backoff(attempts int, r *rand.Rand) time.Duration {
	most := min(backoffMost, backoffFirst<<min(attempts, 16))
	return time.Duration(r.Int63n(int64(most)) + 1)
}

// Hedge decides whether a second attempt starts while the first has not answered:
// only a repeatable interactive call, once, after the delay that nearly all calls
// answer within, and inside the budget.
func (b *RetryBudget) Hedge(c *Call, waited, usual time.Duration) bool {
	if !c.Class.Repeatable || c.Class.Band != fair.Interactive || c.Attempts() != 1 || usual <= 0 || waited < usual {
		return false
	}
	return take(&b.retries)
}

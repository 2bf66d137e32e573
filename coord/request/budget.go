package request

import (
	"math/rand"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: a target or network path fails for many calls at once, or an overloaded
// fleet refuses calls.
// Without it: retries multiply the load on what is left, and a short fault becomes lasting.
// Rule: retries and hedges are at most a tenth of the successes plus a reserve of ten;
// requeues after a refusal for overload are at most one per success plus a reserve.

// The reserve of retries lets a host with little traffic retry at all; "The Site
// Reliability Workbook" and the gRPC retry design (A6) use the same order of magnitude.
// Requeues get a larger budget because a refusal costs the target next to nothing, and the
// call returns to its place at the entry host, behind a window that the refusal has
// reduced. They stop when targets only refuse: only successes refill the budget.
const (
	retryRatio     = 0.1
	retryReserve   = 10.0
	requeueRatio   = 1.0
	requeueReserve = 64.0
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// MaxAttempts is the maximum number of attempts of one call that may have run.
	MaxAttempts = 3
)

// RetryBudget limits the retries of one entry host to a share of its successful calls.
type RetryBudget struct {
	retryTokens   float64
	requeueTokens float64 // for calls that are requeued after a refusal for overload
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{retryTokens: retryReserve, requeueTokens: requeueReserve}
}

// RecordSuccess records a call that was answered.
func (b *RetryBudget) RecordSuccess() {
	b.retryTokens = min(retryReserve, b.retryTokens+retryRatio)
	b.requeueTokens = min(requeueReserve, b.requeueTokens+requeueRatio)
}

func takeToken(tokens *float64) bool {
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// Retry decides whether a call is retried after a failed attempt, and after which pause. A
// refusal that only shows that the routing view is stale (not_here, leaving) is retried at
// once and needs no budget. After a refusal for overload the call is requeued
// (Admission.Requeue); if the budget is empty, the refusal is the final answer.
func (b *RetryBudget) Retry(c *Call, e *fault.Error, now time.Time, r *rand.Rand) (pause time.Duration, again bool) {
	if !c.MayRepeat() || c.PossibleRuns() >= MaxAttempts || !retryable(e) {
		return 0, false
	}
	if staleView(e.Kind) {
		return 0, now.Before(c.Deadline)
	}
	// The jitter is added to the target's RetryAfter, otherwise all calls that it refused
	// at one time would return at one time.
	pause = e.RetryAfter + backoff(c.Attempts(), r)
	if !now.Add(pause).Before(c.Deadline) || !takeToken(b.tokensFor(e.Kind)) {
		return 0, false
	}
	return pause, true
}

// tokensFor returns the budget for retries after an error of a kind.
func (b *RetryBudget) tokensFor(k fault.Kind) *float64 {
	if k == fault.Overloaded {
		return &b.requeueTokens
	}
	return &b.retryTokens
}

// retryable reports whether another target may answer the call.
func retryable(e *fault.Error) bool {
	switch e.Kind {
	case fault.NotHere, fault.Leaving, fault.Overloaded, fault.Unavailable, fault.TargetFailed, fault.StreamBroken:
		return true
	default:
		return false
	}
}

// staleView reports whether a refusal only shows that the routing view is stale.
func staleView(k fault.Kind) bool {
	return k == fault.NotHere || k == fault.Leaving
}

// backoff returns an exponential backoff with full jitter, so that calls that failed at one
// time do not return at one time.
func backoff(attempts int, r *rand.Rand) time.Duration {
	limit := min(maxBackoff, initialBackoff<<min(attempts, 16))
	return time.Duration(r.Int63n(int64(limit)) + 1)
}

// Hedge decides whether to start a second attempt while the first has not answered. Only a
// repeatable interactive call is hedged, once, after the delay within which nearly all
// calls answer (usual), and within the retry budget.
func (b *RetryBudget) Hedge(c *Call, waited, usual time.Duration) bool {
	if !c.Class.Repeatable || c.Class.Band != fair.Interactive || c.Attempts() != 1 || usual <= 0 || waited < usual {
		return false
	}
	return takeToken(&b.retryTokens)
}

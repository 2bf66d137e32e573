package workspace

import (
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// account is a holder's state for one workspace.
type account struct {
	limit          Limit
	balance        int64 // unspent tokens
	expires        time.Time
	prefetchLimit  int64     // most tokens ahead of need, from the newest reply
	excessExpires  time.Time // when the balance above Limit.maxPrefetch must be returned
	expiredExcess  int64     // tokens to return because of excessExpires
	balanceAtSend  int64     // balance in the message in flight
	queuedAtSend   int64     // queuedTokens in the message in flight
	unreported     bool      // charges or refunds since the newest message
	spent          spendWindow
	use            useRate
	refunds        []Refund
	queue          []queuedCall
	queuedTokens   int64
	nextAsk        time.Time     // earliest time of the next Draw for queued or prefetched tokens
	retryAfter     time.Duration // from the newest reply
	lastAnswer     time.Time     // time of the newest reply of an owner that is ready
	backlog        time.Duration // of all hosts, as of lastAnswer
	queueRoom      time.Duration // by which the queue of all hosts could grow, as of lastAnswer
	queuedInReport int64         // queuedTokens in the message of that reply
}

// queuedCall is a request that waits for tokens.
type queuedCall struct {
	id            string
	tokens        int64
	grantDeadline time.Time // while an owner responds
	ownerDeadline time.Time // while no owner is ready
}

// mayWait reports whether a request can still be served before its deadline if no tokens
// arrive for the duration wait. A request that the owner does not serve within MaxWait is over
// the rate; while no owner is ready, it waits longer.
func (a *account) mayWait(q queuedCall, now time.Time, wait time.Duration) bool {
	if a.ownerAnswers(now) {
		return now.Add(wait).Before(q.grantDeadline)
	}
	return now.Add(wait).Before(q.ownerDeadline)
}

// noteAnswer records a reply of an owner that is ready. Requests queued without an owner get
// a new deadline: a bucket whose recent charges are unknown starts empty, so that the backlog
// is served at the rate only.
func (a *account) noteAnswer(now time.Time) {
	if !a.ownerAnswers(now) {
		for i := range a.queue {
			a.queue[i].grantDeadline = earlier(a.queue[i].ownerDeadline, now.Add(MaxWaitAfterRecovery))
		}
	}
	a.lastAnswer = now
}

// queueDelay estimates how long the queued calls of all hosts take at the rate, from the
// owner's newest reply, the time since then, and the calls queued here meanwhile.
func (a *account) queueDelay(now time.Time) time.Duration {
	return max(0, a.backlog-now.Sub(a.lastAnswer)) + a.unreportedDelay()
}

// unreportedDelay returns how long the queued calls that were not yet reported to the owner
// take at the rate.
func (a *account) unreportedDelay() time.Duration {
	return a.limit.FillTime(max(0, a.queuedTokens-a.queuedInReport))
}

// mayEnqueue reports whether the owner's newest reply allows another call to be queued. A host
// without queued calls assumes that the fleet's queue has moved on since. Otherwise it does
// not, as other hosts may have added calls too. While no owner is ready, every call may wait.
func (a *account) mayEnqueue(now time.Time) bool {
	room := a.queueRoom
	if len(a.queue) == 0 {
		room += now.Sub(a.lastAnswer)
	}
	return !a.ownerAnswers(now) || a.unreportedDelay() <= room
}

// ownerAnswers reports whether an owner that is ready replied within MaxWait.
func (a *account) ownerAnswers(now time.Time) bool {
	return now.Sub(a.lastAnswer) <= MaxWait
}

// refuseLate refuses the queued requests whose deadline ends before more tokens can arrive,
// which is after the duration wait.
func (a *account) refuseLate(ws string, now time.Time, wait time.Duration) []Outcome {
	var outcomes []Outcome
	kept := a.queue[:0]
	for _, q := range a.queue {
		if a.mayWait(q, now, wait) {
			kept = append(kept, q)
			continue
		}
		a.queuedTokens -= q.tokens
		outcomes = append(outcomes, Outcome{ID: q.id, Err: a.refusalError(ws, now)})
	}
	a.queue = kept
	return outcomes
}

// refuseAll refuses all queued requests because the queue of the fleet is too long.
func (a *account) refuseAll(ws string, now time.Time) []Outcome {
	outcomes := make([]Outcome, 0, len(a.queue))
	for _, q := range a.queue {
		outcomes = append(outcomes, Outcome{ID: q.id, Err: a.refusalError(ws, now)})
	}
	a.queue, a.queuedTokens = a.queue[:0], 0
	return outcomes
}

// dropExpired drops a balance whose grant has expired. It also removes what exceeds the
// prefetch limit once ReplyTimeout has passed since the Draw: the excess was granted for
// queued requests, which are charged as soon as the reply arrives. A new owner can therefore
// assume that an unreachable holder has at most its prefetched tokens left after that time.
func (a *account) dropExpired(now time.Time) {
	if a.balance > 0 && !now.Before(a.expires) {
		a.balance = 0
	}
	if over := a.balance - a.limit.maxPrefetch(); over > 0 && !now.Before(a.excessExpires) {
		a.balance -= over
		a.expiredExcess += over
	}
}

// needsPrefetch reports whether the balance is below half of what the host may keep ahead of
// need. It takes the owner's limit into account: in a large fleet the limit is less than one
// call, and hosts would otherwise ask for more tokens with every poll.
func (a *account) needsPrefetch(now time.Time) bool {
	byUse := int64(float64(a.use.perSecond(now)) * prefetchHorizon.Seconds())
	return a.balance < min(byUse, a.prefetchLimit)/2
}

// enqueue appends a request to the queue. A small one goes to the front unless another small
// one is there.
func (a *account) enqueue(q queuedCall) {
	at := len(a.queue)
	if a.bypassesQueue(q.tokens) {
		at, a.nextAsk = 0, time.Time{} // nextAsk applied to the call that is now second
	}
	a.queue = slices.Insert(a.queue, at, q)
	a.queuedTokens += q.tokens
}

// bypassesQueue reports whether a call may go to the front of the queue, however long that is.
// Only one small call may do so at a time; in a flood of them, the rest is queued as usual.
func (a *account) bypassesQueue(tokens int64) bool {
	return a.limit.isSmall(tokens) && (len(a.queue) == 0 || !a.limit.isSmall(a.queue[0].tokens))
}

func (a *account) pop() queuedCall {
	q := a.queue[0]
	a.queue = a.queue[1:]
	a.queuedTokens -= q.tokens
	return q
}

// refusalError returns the error for a request that got no tokens: fault.RateLimited if an
// owner replied recently, else fault.NoQuorum.
func (a *account) refusalError(ws string, now time.Time) error {
	if !a.ownerAnswers(now) {
		return fault.New(fault.NoQuorum, "the owner of the rate of workspace %s does not answer", ws)
	}
	return fault.NewRetryAfter(fault.RateLimited, max(a.retryAfter, a.queueDelay(now), time.Millisecond), "workspace %s is over its rate", ws)
}

func (a *account) addRefund(r Refund) {
	for i := range a.refunds {
		if a.refunds[i].ChargeSequence == r.ChargeSequence {
			a.refunds[i].Tokens += r.Tokens
			return
		}
	}
	if len(a.refunds) < maxRefunds {
		a.refunds = append(a.refunds, r)
		return
	}
	oldest := 0
	for i := range a.refunds {
		if a.refunds[i].ChargeSequence < a.refunds[oldest].ChargeSequence {
			oldest = i
		}
	}
	// Merging under the smaller sequence can only make the refund smaller.
	a.refunds[oldest].Tokens += r.Tokens
	a.refunds[oldest].ChargeSequence = min(a.refunds[oldest].ChargeSequence, r.ChargeSequence)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

package workspace

import (
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// account is a holder's state of one workspace.
type account struct {
	limit        Limit
	balance      int64 // unspent tokens
	lapses       time.Time
	share        int64     // most tokens ahead of need, by the owner's newest reply
	excess       time.Time // when what is above the stock goes back
	giveBack     int64     // tokens above the stock whose time is over
	atSend       int64     // Holding of the message in flight
	statedAtSend int64     // waitSum of the message in flight
	unsaid       bool      // something to report since the newest message
	spent        spendWindow
	use          useRate
	refunds      []Refund
	waiting      []waiter
	waitSum      int64
	askAfter     time.Time     // earliest time to ask again for the waiting ones
	hint         time.Duration // retry-after of the newest reply
	answered     time.Time     // when a settled owner answered last
	backlog      time.Duration // of all hosts, as the owner said at answered
	room         time.Duration // by which the line of all hosts could grow then
	stated       int64         // waitSum in the message that it answered
}

// waiter is a request that waits for tokens.
type waiter struct {
	id       string
	tokens   int64
	patience time.Time // end of its wait for a settled owner
	until    time.Time // end of its wait for an owner
}

// mayWait reports whether a request can still be met in its time when no tokens arrive before
// wait is over. What a settled owner does not grant within MaxWait is over the rate. Without
// one, the request waits for it.
func (a *account) mayWait(w waiter, now time.Time, wait time.Duration) bool {
	if a.ownerKnows(now) {
		return now.Add(wait).Before(w.patience)
	}
	return now.Add(wait).Before(w.until)
}

// heard notes an answer of a settled owner. The wait of requests that had none begins anew: a
// bucket whose last charges are unknown starts empty, and the backlog is met at the rate only.
func (a *account) heard(now time.Time) {
	if !a.ownerKnows(now) {
		for i := range a.waiting {
			a.waiting[i].patience = earlier(a.waiting[i].until, now.Add(AfterSilence))
		}
	}
	a.answered = now
}

// ahead returns how long the calls that wait at all hosts take at the rate, by the
// owner's newest reply, the time since, and what has joined here meanwhile.
func (a *account) ahead(now time.Time) time.Duration {
	return max(0, a.backlog-now.Sub(a.answered)) + a.joined()
}

// joined returns how long the calls take that were not stated to the owner.
func (a *account) joined() time.Duration {
	return a.limit.After(max(0, a.waitSum-a.stated))
}

// mayJoin reports whether a further call may wait, by the owner's newest reply. A host without
// a waiting call assumes that the queue has moved on since; behind a call that waits, others
// may have joined as well. Without a settled owner every call may wait.
func (a *account) mayJoin(now time.Time) bool {
	room := a.room
	if len(a.waiting) == 0 {
		room += now.Sub(a.answered)
	}
	return !a.ownerKnows(now) || a.joined() <= room
}

func (a *account) ownerKnows(now time.Time) bool {
	return now.Sub(a.answered) <= MaxWait
}

// giveUp refuses the waiting requests whose time ends before more tokens can come.
func (a *account) giveUp(ws string, now time.Time, wait time.Duration) []Outcome {
	var outcomes []Outcome
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if a.mayWait(w, now, wait) {
			kept = append(kept, w)
			continue
		}
		a.waitSum -= w.tokens
		outcomes = append(outcomes, Outcome{ID: w.id, Err: a.refusal(ws, now)})
	}
	a.waiting = kept
	return outcomes
}

// refuseAll refuses all waiting requests: the line is too long for them to join.
func (a *account) refuseAll(ws string, now time.Time) []Outcome {
	outcomes := make([]Outcome, 0, len(a.waiting))
	for _, w := range a.waiting {
		outcomes = append(outcomes, Outcome{ID: w.id, Err: a.refusal(ws, now)})
	}
	a.waiting, a.waitSum = a.waiting[:0], 0
	return outcomes
}

// expire drops a balance past its validity, and takes what is above the stock out of
// it once the wait for the reply that brought it would be over: tokens come for
// requests that wait, which are charged as the reply arrives. So a new owner can assume
// that a holder it cannot ask has no more than its stock left then.
func (a *account) expire(now time.Time) {
	if a.balance > 0 && !now.Before(a.lapses) {
		a.balance = 0
	}
	if over := a.balance - a.limit.stock(); over > 0 && !now.Before(a.excess) {
		a.balance -= over
		a.giveBack += over
	}
}

// needsRefill reports whether the stock is below half of what the host may hold ahead of
// need. Without the owner's share, hosts of a large fleet, whose share is less than a call,
// would ask for more with every poll.
func (a *account) needsRefill(now time.Time) bool {
	byUse := int64(float64(a.use.perSecond(now)) * aheadHorizon.Seconds())
	return a.balance < min(byUse, a.share)/2
}

// join lets a request wait: in order, but a small one first where none waits first.
func (a *account) join(w waiter) {
	at := len(a.waiting)
	if a.goesFirst(w.tokens) {
		at, a.askAfter = 0, time.Time{} // which was when the call behind it can be met
	}
	a.waiting = slices.Insert(a.waiting, at, w)
	a.waitSum += w.tokens
}

// goesFirst reports whether a call may wait before the others and whatever the line.
// One at a time: of a flood of small calls the rest is queued like all others.
func (a *account) goesFirst(tokens int64) bool {
	return a.limit.small(tokens) && (len(a.waiting) == 0 || !a.limit.small(a.waiting[0].tokens))
}

func (a *account) pop() waiter {
	w := a.waiting[0]
	a.waiting = a.waiting[1:]
	a.waitSum -= w.tokens
	return w
}

// refusal is the answer to a request that got no tokens: over its rate if the owner
// said so lately, else no owner could be asked.
func (a *account) refusal(ws string, now time.Time) error {
	if !a.ownerKnows(now) {
		return fault.New(fault.NoQuorum, "the owner of the rate of workspace %s does not answer", ws)
	}
	return fault.After(fault.RateLimited, max(a.hint, a.ahead(now), time.Millisecond), "workspace %s is over its rate", ws)
}

func (a *account) addRefund(r Refund) {
	for i := range a.refunds {
		if a.refunds[i].Charged == r.Charged {
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
		if a.refunds[i].Charged < a.refunds[oldest].Charged {
			oldest = i
		}
	}
	// Merging under the lesser sequence never makes a refund larger.
	a.refunds[oldest].Tokens += r.Tokens
	a.refunds[oldest].Charged = min(a.refunds[oldest].Charged, r.Charged)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

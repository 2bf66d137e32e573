package workspace

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: many small calls, bursts at changing hosts, idle hosts with tokens, frozen processes.
// Without it: a host refuses calls while unused tokens are free or held by another host, and a
// process that resumes after a freeze spends tokens that were granted to others meanwhile.
// Rule: hosts ask the owner before they refuse, return unused tokens, and drop expired grants.

const (
	// MaxWait is the longest time that a request waits for tokens while the owner responds.
	MaxWait = GrantTTL / 2
	// MaxOwnerWait is the longest time that a request waits for an owner that is ready. It
	// covers two elections and the recovery after them, so that a leader change delays calls
	// instead of refusing them.
	MaxOwnerWait = 3 * time.Second
	// MaxWaitAfterRecovery replaces MaxWait for requests that were queued without an owner.
	// It is twice as long since the bucket of a new owner may start empty.
	MaxWaitAfterRecovery = 2 * MaxWait
	// ReplyTimeout is how long a holder waits for the reply to a Draw.
	ReplyTimeout = 250 * time.Millisecond
	// reportInterval is the longest delay before charges, refunds and returns are reported.
	reportInterval = 100 * time.Millisecond
	// renewInterval is the longest time between two Draws of a holder, also of an idle one: a
	// new owner waits for the state of all holders.
	renewInterval = GrantTTL / 4
	// MaxQueuedCalls is the most requests of one workspace that wait for tokens on one host.
	MaxQueuedCalls = 1024
	// maxRefunds is the most refunds in one DrawItem; beyond it, the oldest is merged.
	maxRefunds = 16
)

// Holder charges requests against the tokens granted to one entry host.
type Holder struct {
	key          HostKey
	started      time.Time
	accounts     map[string]*account
	names        []string // keys of accounts, sorted
	sequence     uint64   // of the newest Draw
	applied      uint64
	epoch        uint64
	inFlight     bool
	sentAt       time.Time
	drawNow      bool // a new owner needs the state of this holder
	backoffUntil time.Time
}

// NewHolder returns the holder of one incarnation of an entry host.
func NewHolder(key HostKey, now time.Time) *Holder {
	return &Holder{key: key, started: now, accounts: make(map[string]*account)}
}

// Configure replaces the limits. A removed workspace stays until its queue is empty and
// Configure is called again.
func (h *Holder) Configure(limits map[string]Limit, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		l := limits[name]
		a, known := h.accounts[name]
		if known && a.limit == l {
			continue
		}
		if !known {
			a = &account{}
			h.accounts[name] = a
		}
		carried := a.spent.sumOrZero(h.uptime(now))
		a.limit = l
		a.spent = newSpendWindow(l.Window())
		a.spent.add(h.uptime(now), carried)
	}
	for name := range h.accounts {
		if _, stays := limits[name]; !stays && len(h.accounts[name].queue) == 0 {
			delete(h.accounts, name)
		}
	}
	h.names = slices.Sorted(maps.Keys(h.accounts))
}

// OwnerChanged handles a change of the control leader: the holder sends its state to the new
// owner at once instead of with its next request for tokens.
func (h *Holder) OwnerChanged(epoch uint64) {
	if epoch > h.epoch {
		h.drawNow = true
	}
}

// Charge charges a request for the tokens of its prompt plus the most it may generate.
// It returns waits if the request was queued to ask the owner for tokens. The outcome then
// comes from Reply or Tick, at the latest at until, after MaxWait while an owner responds
// (MaxWaitAfterRecovery for requests queued before), or after MaxOwnerWait while none is ready.
//
// Errors: fault.NotFound for a workspace that is not configured; fault.InvalidRequest for a
// negative number of tokens; fault.TooLarge for more tokens than the burst, which no wait can
// provide; fault.RateLimited if the queue of the host or the fleet is too long, or if the
// owner does not grant the tokens in time; fault.NoQuorum if the owner did not respond.
func (h *Holder) Charge(id, ws string, tokens int64, until, now time.Time) (c Charge, waits bool, err error) {
	a, known := h.accounts[ws]
	if !known {
		return Charge{}, false, fault.New(fault.NotFound, "workspace %s is not configured", ws)
	}
	if tokens > a.limit.Burst {
		return Charge{}, false, fault.New(fault.TooLarge, "charge of %d tokens exceeds the workspace's burst of %d", tokens, a.limit.Burst)
	}
	if tokens < 0 {
		// A negative charge would add tokens to the balance.
		return Charge{}, false, fault.New(fault.InvalidRequest, "negative charge of %d tokens", tokens)
	}
	a.dropExpired(now)
	a.use.add(now, tokens)
	if len(a.queue) == 0 && a.balance >= tokens {
		return h.charge(ws, a, tokens, now), false, nil
	}
	if len(a.queue) >= MaxQueuedCalls || !a.bypassesQueue(tokens) && !a.mayEnqueue(now) {
		return Charge{}, false, a.refusalError(ws, now)
	}
	a.enqueue(queuedCall{id, tokens, earlier(until, now.Add(MaxWait)), earlier(until, now.Add(MaxOwnerWait))})
	return Charge{}, true, nil
}

func (h *Holder) charge(ws string, a *account, tokens int64, now time.Time) Charge {
	a.balance -= tokens
	a.unreported = true
	return Charge{Workspace: ws, Tokens: tokens, sequence: h.sequence + 1, slot: a.spent.add(h.uptime(now), tokens)}
}

// Refund returns the part of a charge that the request did not use.
func (h *Holder) Refund(c Charge, unused int64) {
	a, known := h.accounts[c.Workspace]
	unused = min(unused, c.Tokens)
	if !known || unused <= 0 {
		return
	}
	a.unreported = true
	a.spent.refund(c.slot, unused)
	a.addRefund(Refund{Tokens: unused, ChargeSequence: c.sequence})
}

// Cancel removes a queued request. No outcome follows.
func (h *Holder) Cancel(ws, id string) {
	a, known := h.accounts[ws]
	if !known {
		return
	}
	for i, q := range a.queue {
		if q.id == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.queuedTokens -= q.tokens
			return
		}
	}
}

// Poll returns the message to send now, or nil. One message is in flight at a time, until
// Reply or DrawFailed is called for it or ReplyTimeout passes.
func (h *Holder) Poll(now time.Time) *Draw {
	if h.inFlight && now.Sub(h.sentAt) < ReplyTimeout {
		return nil
	}
	if !h.drawDue(now) {
		return nil
	}
	h.sequence++
	h.inFlight, h.sentAt, h.drawNow = true, now, false
	d := &Draw{From: h.key, Sequence: h.sequence, Applied: h.applied, Epoch: h.epoch, Uptime: h.uptime(now)}
	for _, name := range h.names {
		item, nonZero := h.drawItem(name, h.accounts[name], now)
		if nonZero {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

// drawDue reports whether a message should be sent now.
func (h *Holder) drawDue(now time.Time) bool {
	if now.Before(h.backoffUntil) {
		return false
	}
	if h.drawNow {
		return true
	}
	since := now.Sub(h.sentAt)
	if since >= renewInterval && len(h.names) > 0 {
		return true
	}
	for _, name := range h.names {
		a := h.accounts[name]
		a.dropExpired(now)
		switch {
		case len(a.queue) > 0 && !now.Before(a.nextAsk):
			return true
		case a.unreported && since >= reportInterval:
			return true
		case a.needsPrefetch(now) && since >= reportInterval/4 && !now.Before(a.nextAsk):
			return true
		}
	}
	return false
}

// drawItem returns the item of one workspace and whether any of its values is not zero.
func (h *Holder) drawItem(name string, a *account, now time.Time) (DrawItem, bool) {
	a.dropExpired(now)
	use := a.use.perSecond(now)
	item := DrawItem{Workspace: name, UsePerSecond: use, SpentInWindow: a.spent.sum(h.uptime(now))}
	if len(a.queue) > 0 {
		item.Need = max(0, a.queue[0].tokens-a.balance)
		item.Want = max(item.Need, a.queuedTokens-a.balance)
	} else {
		ahead := int64(float64(use) * prefetchHorizon.Seconds())
		item.Return = max(0, a.balance-ahead)
	}
	a.balance -= item.Return
	item.Return += a.expiredExcess
	a.expiredExcess = 0
	item.Holding = a.balance
	a.balanceAtSend = a.balance
	a.queuedAtSend = a.queuedTokens
	a.unreported = false
	item.Refunds = a.refunds
	a.refunds = nil
	nonZero := item.Need > 0 || item.Return > 0 || item.Holding > 0 || item.SpentInWindow > 0 || len(item.Refunds) > 0 || use > 0
	return item, nonZero
}

// Reply applies the reply to the message in flight. It ignores a reply to any other message
// and one from an owner that is older than the newest known.
func (h *Holder) Reply(r *Reply, now time.Time) []Outcome {
	if !h.inFlight || r.Sequence != h.sequence || r.Epoch < h.epoch {
		return nil
	}
	h.inFlight = false
	h.applied, h.epoch = r.Sequence, r.Epoch
	var outcomes []Outcome
	for _, g := range r.Grants {
		if a, known := h.accounts[g.Workspace]; known {
			outcomes = append(outcomes, h.applyGrant(g, a, now)...)
		}
	}
	return outcomes
}

func (h *Holder) applyGrant(g Grant, a *account, now time.Time) []Outcome {
	a.dropExpired(now)
	spent := a.balanceAtSend - a.balance
	a.balance = max(0, g.Keep-spent) + g.Tokens
	a.expires = h.sentAt.Add(g.Valid)
	a.excessExpires = h.sentAt.Add(ReplyTimeout)
	a.retryAfter = g.RetryAfter
	if g.Recovering {
		a.lastAnswer = time.Time{} // discards the queue state of an earlier owner
	} else {
		a.backlog, a.queueRoom, a.prefetchLimit, a.queuedInReport = g.Backlog, g.QueueRoom, g.PrefetchLimit, a.queuedAtSend
		a.noteAnswer(now)
	}
	a.nextAsk = now.Add(g.RetryAfter)
	a.dropExpired(now)
	outcomes := h.serveQueue(g.Workspace, a, now)
	if g.QueueFull {
		outcomes = append(outcomes, a.refuseAll(g.Workspace, now)...)
	}
	return outcomes
}

// serveQueue charges the queued requests in order as far as the balance goes, and refuses
// those that cannot be served before their deadline.
func (h *Holder) serveQueue(ws string, a *account, now time.Time) []Outcome {
	var outcomes []Outcome
	for len(a.queue) > 0 && a.balance >= a.queue[0].tokens {
		q := a.pop()
		outcomes = append(outcomes, Outcome{ID: q.id, Charge: h.charge(ws, a, q.tokens, now)})
	}
	return append(outcomes, a.refuseLate(ws, now, a.retryAfter)...)
}

// DrawFailed handles a failed send or call for the message with that sequence. The next message
// is sent after a short backoff.
func (h *Holder) DrawFailed(sequence uint64, now time.Time) {
	if h.inFlight && sequence == h.sequence {
		h.inFlight = false
		h.backoffUntil = now.Add(failureBackoff)
	}
}

// failureBackoff keeps a holder from calling a failing owner in a tight loop.
const failureBackoff = 20 * time.Millisecond

// Tick refuses the queued requests whose deadline has passed.
func (h *Holder) Tick(now time.Time) []Outcome {
	var outcomes []Outcome
	for _, name := range h.names {
		outcomes = append(outcomes, h.accounts[name].refuseLate(name, now, 0)...)
	}
	return outcomes
}

// NextWake returns the next time at which Poll or Tick must be called if no event comes first.
func (h *Holder) NextWake(now time.Time) time.Time {
	next := h.nextPoll()
	for _, name := range h.names {
		a := h.accounts[name]
		for _, q := range a.queue {
			next = earlier(next, q.ownerDeadline)
			if a.ownerAnswers(now) {
				next = earlier(next, q.grantDeadline)
			}
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// nextPoll returns the time at which the next message is due.
func (h *Holder) nextPoll() time.Time {
	if h.inFlight {
		return h.sentAt.Add(ReplyTimeout)
	}
	next := h.sentAt.Add(renewInterval)
	for _, name := range h.names {
		a := h.accounts[name]
		if a.unreported {
			next = earlier(next, h.sentAt.Add(reportInterval))
		}
		if len(a.queue) > 0 {
			next = earlier(next, a.nextAsk)
		}
	}
	if next.Before(h.backoffUntil) {
		return h.backoffUntil
	}
	return next
}

func (h *Holder) uptime(now time.Time) time.Duration {
	return now.Sub(h.started)
}

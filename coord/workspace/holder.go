package workspace

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: bursts at one entry host, then at another; many small calls; hosts
// that fall idle with tokens in hand; a process that freezes and wakes up.
//
// Without it: a host whose grant is used up refuses calls that the workspace has tokens for,
// tokens lie unused at one host while another refuses, and a frozen process that resumes spends
// tokens that were granted to others meanwhile.
// Rule: hosts ask before they refuse, return what they do not use, and drop grants that expired.

const (
	// MaxWait is the longest that a request waits for tokens while the owner answers.
	MaxWait = Validity / 2
	// OwnerWait is the longest that a request waits for a settled owner. It is above two
	// elections and the settling after them, so that a change of leader delays calls and
	// does not refuse them.
	OwnerWait = 3 * time.Second
	// AfterSilence is the wait of requests that had no owner: twice the usual, since the
	// new owner's bucket may start empty.
	AfterSilence = 2 * MaxWait
	// ReplyTimeout is how long a holder waits for the reply to a Draw.
	ReplyTimeout = 250 * time.Millisecond
	// reportEvery is the longest delay of reports of spending, refunds and returns.
	reportEvery = 100 * time.Millisecond
	// renewEvery is how often a holder draws at least: a new owner waits for the statements
	// of all holders.
	renewEvery = Validity / 4
	// MaxWaiting bounds the requests of one workspace that wait for tokens.
	MaxWaiting = 1024
	// maxRefunds bounds the refunds in one item; the oldest are merged.
	maxRefunds = 16
)

// Holder charges requests on one entry host.
type Holder struct {
	from     HostKey
	started  time.Time
	accounts map[string]*account
	names    []string // of accounts, in order
	sequence uint64   // newest message
	applied  uint64
	epoch    uint64
	inFlight bool
	sentAt   time.Time
	urgent   bool // a new owner wants a statement
	notUntil time.Time
}

// NewHolder returns the holder of one run of an entry host.
func NewHolder(from HostKey, now time.Time) *Holder {
	return &Holder{from: from, started: now, accounts: make(map[string]*account)}
}

// Configure takes new limits.
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
		carried := a.spent.sumIfAny(h.uptime(now))
		a.limit = l
		a.spent = newSpendWindow(l.Window())
		a.spent.add(h.uptime(now), carried)
	}
	for name := range h.accounts {
		if _, stays := limits[name]; !stays && len(h.accounts[name].waiting) == 0 {
			delete(h.accounts, name)
		}
	}
	h.names = slices.Sorted(maps.Keys(h.accounts))
}

// OwnerChanged notes that another control host leads, so that the holder states
// what it has at once instead of at its next need.
func (h *Holder) OwnerChanged(epoch uint64) {
	if epoch > h.epoch {
		h.urgent = true
	}
}

// Charge charges a request with tokens for its prompt and the most it may generate.
// It returns waits when the owner must be asked first: the outcome comes from Reply,
// Failed or Tick, at the latest at until, MaxWait after the owner spoke, or after
// OwnerWait where no owner is settled. Errors: fault.NotFound for a workspace
// that is not configured, fault.InvalidRequest for less than no tokens,
// fault.TooLarge for more than the burst, which no wait can meet, fault.RateLimited
// when too many wait, over the fleet or here, or the owner has no tokens in time, fault.NoQuorum when the
// owner did not answer.
func (h *Holder) Charge(id, ws string, tokens int64, until, now time.Time) (c Charge, waits bool, err error) {
	a, known := h.accounts[ws]
	if !known {
		return Charge{}, false, fault.New(fault.NotFound, "no workspace %s", ws)
	}
	if tokens > a.limit.Burst {
		return Charge{}, false, fault.New(fault.TooLarge, "%d tokens are over the workspace's burst of %d", tokens, a.limit.Burst)
	}
	if tokens < 0 {
		// A negative charge would add to what the workspace may spend.
		return Charge{}, false, fault.New(fault.InvalidRequest, "a charge of %d tokens", tokens)
	}
	a.expire(now)
	a.use.add(now, tokens)
	if len(a.waiting) == 0 && a.balance >= tokens {
		return h.charge(ws, a, tokens, now), false, nil
	}
	if len(a.waiting) >= MaxWaiting || !a.goesFirst(tokens) && !a.mayJoin(now) {
		return Charge{}, false, a.refusal(ws, now)
	}
	a.join(waiter{id, tokens, earlier(until, now.Add(MaxWait)), earlier(until, now.Add(OwnerWait))})
	return Charge{}, true, nil
}

func (h *Holder) charge(ws string, a *account, tokens int64, now time.Time) Charge {
	a.balance -= tokens
	a.unsaid = true
	return Charge{Workspace: ws, Tokens: tokens, sequence: h.sequence + 1, slot: a.spent.add(h.uptime(now), tokens)}
}

// Refund gives back the part of a charge that the request did not use.
func (h *Holder) Refund(c Charge, unused int64) {
	a, known := h.accounts[c.Workspace]
	unused = min(unused, c.Tokens)
	if !known || unused <= 0 {
		return
	}
	a.unsaid = true
	a.spent.refund(c.slot, unused)
	a.addRefund(Refund{Tokens: unused, Charged: c.sequence})
}

// Cancel drops a request that waits. No outcome follows.
func (h *Holder) Cancel(ws, id string) {
	a, known := h.accounts[ws]
	if !known {
		return
	}
	for i, w := range a.waiting {
		if w.id == id {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			a.waitSum -= w.tokens
			return
		}
	}
}

// Poll returns the message to send now, or nil. One message is in flight at a time:
// Reply or Failed must follow, or the reply timeout passes.
func (h *Holder) Poll(now time.Time) *Draw {
	if h.inFlight && now.Sub(h.sentAt) < ReplyTimeout {
		return nil
	}
	if !h.due(now) {
		return nil
	}
	h.sequence++
	h.inFlight, h.sentAt, h.urgent = true, now, false
	d := &Draw{From: h.from, Sequence: h.sequence, Applied: h.applied, Epoch: h.epoch, Uptime: h.uptime(now)}
	for _, name := range h.names {
		item, says := h.statement(name, h.accounts[name], now)
		if says {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

// due reports whether there is reason to send.
func (h *Holder) due(now time.Time) bool {
	if now.Before(h.notUntil) {
		return false
	}
	if h.urgent {
		return true
	}
	since := now.Sub(h.sentAt)
	if since >= renewEvery && len(h.names) > 0 {
		return true
	}
	for _, name := range h.names {
		a := h.accounts[name]
		a.expire(now)
		switch {
		case len(a.waiting) > 0 && !now.Before(a.askAfter):
			return true
		case a.unsaid && since >= reportEvery:
			return true
		case a.needsRefill(now) && since >= reportEvery/4 && !now.Before(a.askAfter):
			return true
		}
	}
	return false
}

// statement makes the item of one workspace, and reports whether it says anything.
func (h *Holder) statement(name string, a *account, now time.Time) (DrawItem, bool) {
	a.expire(now)
	use := a.use.perSecond(now)
	item := DrawItem{Workspace: name, UsePerSecond: use, SpentInWindow: a.spent.sum(h.uptime(now))}
	if len(a.waiting) > 0 {
		item.Need = max(0, a.waiting[0].tokens-a.balance)
		item.Want = max(item.Need, a.waitSum-a.balance)
	} else {
		stock := int64(float64(use) * aheadHorizon.Seconds())
		item.Return = max(0, a.balance-stock)
	}
	a.balance -= item.Return
	item.Return += a.giveBack
	a.giveBack = 0
	item.Holding = a.balance
	a.atSend = a.balance
	a.statedAtSend = a.waitSum
	a.unsaid = false
	item.Refunds = a.refunds
	a.refunds = nil
	says := item.Need > 0 || item.Return > 0 || item.Holding > 0 || item.SpentInWindow > 0 || len(item.Refunds) > 0 || use > 0
	return item, says
}

// Reply takes the answer to the message in flight; an answer to another message is
// dropped, and so is one of an owner older than the newest known.
func (h *Holder) Reply(r *Reply, now time.Time) []Outcome {
	if !h.inFlight || r.Sequence != h.sequence || r.Epoch < h.epoch {
		return nil
	}
	h.inFlight = false
	h.applied, h.epoch = r.Sequence, r.Epoch
	var outcomes []Outcome
	for _, g := range r.Grants {
		if a, known := h.accounts[g.Workspace]; known {
			outcomes = append(outcomes, h.apply(g, a, now)...)
		}
	}
	return outcomes
}

func (h *Holder) apply(g Grant, a *account, now time.Time) []Outcome {
	a.expire(now)
	spent := a.atSend - a.balance
	a.balance = max(0, g.Keep-spent) + g.Tokens
	a.lapses = h.sentAt.Add(g.Valid)
	a.excess = h.sentAt.Add(ReplyTimeout)
	a.hint = g.RetryAfter
	if g.Unsettled {
		a.answered = time.Time{} // what an earlier owner said of the queue is void
	} else {
		a.backlog, a.room, a.share, a.stated = g.Backlog, g.Room, g.Share, a.statedAtSend
		a.heard(now)
	}
	a.askAfter = now.Add(g.RetryAfter)
	a.expire(now)
	outcomes := h.serve(g.Workspace, a, now)
	if g.LineFull {
		outcomes = append(outcomes, a.refuseAll(g.Workspace, now)...)
	}
	return outcomes
}

// serve charges the waiting requests in order as far as the balance goes, and
// refuses those that cannot be met before their time.
func (h *Holder) serve(ws string, a *account, now time.Time) []Outcome {
	var outcomes []Outcome
	for len(a.waiting) > 0 && a.balance >= a.waiting[0].tokens {
		w := a.pop()
		outcomes = append(outcomes, Outcome{ID: w.id, Charge: h.charge(ws, a, w.tokens, now)})
	}
	return append(outcomes, a.giveUp(ws, now, a.hint)...)
}

// Failed notes that the message with that sequence got no reply. The next one is sent after a
// pause.
func (h *Holder) Failed(sequence uint64, now time.Time) {
	if h.inFlight && sequence == h.sequence {
		h.inFlight = false
		h.notUntil = now.Add(failurePause)
	}
}

// failurePause keeps a holder from asking a failing owner in a tight loop.
const failurePause = 20 * time.Millisecond

// Tick refuses the waiting requests whose time has come.
func (h *Holder) Tick(now time.Time) []Outcome {
	var outcomes []Outcome
	for _, name := range h.names {
		outcomes = append(outcomes, h.accounts[name].giveUp(name, now, 0)...)
	}
	return outcomes
}

// Wake returns when Poll or Tick may have something to do next without an event.
func (h *Holder) Wake(now time.Time) time.Time {
	next := h.nextPoll()
	for _, name := range h.names {
		a := h.accounts[name]
		for _, w := range a.waiting {
			next = earlier(next, w.until)
			if a.ownerKnows(now) {
				next = earlier(next, w.patience)
			}
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// nextPoll returns when the next message is due.
func (h *Holder) nextPoll() time.Time {
	if h.inFlight {
		return h.sentAt.Add(ReplyTimeout)
	}
	next := h.sentAt.Add(renewEvery)
	for _, name := range h.names {
		a := h.accounts[name]
		if a.unsaid {
			next = earlier(next, h.sentAt.Add(reportEvery))
		}
		if len(a.waiting) > 0 {
			next = earlier(next, a.askAfter)
		}
	}
	if next.Before(h.notUntil) {
		return h.notUntil
	}
	return next
}

func (h *Holder) uptime(now time.Time) time.Duration {
	return now.Sub(h.started)
}

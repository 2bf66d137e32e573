package workspace

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: every entry host charges calls of the same workspaces at once, the
// owner changes, messages are lost, late or repeated, and processes freeze.
//
// Without it: each host with rate/hosts refuses calls inside the rate as soon as callers are
// not spread evenly, and hosts that each allow the whole rate exceed it.
// Rule: one owner grants tokens; a grant expires, and grants ahead of need are a small part of
// the burst, which bounds what other hosts cannot spend. A call without stock waits one round
// trip.

const (
	// Validity is how long a holder may spend a grant, counted from when it sent the Draw.
	Validity = time.Second
	// validityMargin is waited by the owner beyond Validity before it takes a grant
	// for lapsed. It covers clocks that run at different rates.
	validityMargin = Validity / clockShare
	// clockShare: a wait for another host's clock is longer by one part of so many.
	clockShare = 8
	// aheadShare is the part of the burst that all hosts may hold ahead of need: 1/aheadShare.
	aheadShare = 32
	// aheadHorizon is the recent use, as time, that a holder gets ahead of need.
	aheadHorizon = 60 * time.Millisecond
	// settleRetry is when holders ask again while a new owner collects statements.
	settleRetry = 20 * time.Millisecond
	// activeFor is how long a host counts as active after its last Draw.
	activeFor = 2 * Validity
)

// Owner keeps the bucket of every workspace. Only the control leader has one, and a
// new leader makes a new one.
type Owner struct {
	epoch   uint64
	began   time.Time
	until   time.Time // end of the leader's lease
	limits  map[string]Limit
	buckets map[string]*bucket
	hosts   map[HostKey]*hostRecord
	settle  *settlement // nil once the buckets are known
	settled time.Time   // when they became known after an earlier owner
	// scanned is when all holdings were last looked through, and activeHosts what
	// was counted then. Between scans nothing that is due is missed by more than
	// scanEvery, which only keeps tokens counted as granted a little longer.
	scanned     time.Time
	activeHosts int64
}

// scanEvery keeps the cost of one Draw independent of the number of hosts.
const scanEvery = 10 * time.Millisecond

// hostRecord is the owner's state of one holder.
type hostRecord struct {
	sequence uint64 // newest message
	reply    *Reply // answer to it
	seen     time.Time
	held     map[string]*holding
}

// holding is what one holder has of one workspace.
type holding struct {
	tokens  int64 // granted and not known to be spent
	granted int64 // part of tokens that the newest reply added
	lapses  time.Time
	reports reportLog
}

// NewOwner returns the owner of an epoch, which grows with each leader. Hosts names
// every run of an entry host that may have drawn from an earlier owner in the last
// Validity plus the longest Limit.Window: with none, the buckets start full.
func NewOwner(epoch uint64, limits map[string]Limit, hosts []HostKey, now time.Time) *Owner {
	o := &Owner{
		epoch:   epoch,
		began:   now,
		limits:  limits,
		buckets: make(map[string]*bucket, len(limits)),
		hosts:   make(map[HostKey]*hostRecord),
		settle:  newSettlement(hosts, now),
	}
	o.trySettle(now)
	return o
}

// Extend sets the end of the leader's lease. Draw refuses after it: a leader that
// froze and wakes up grants nothing, because another may own the buckets by then.
func (o *Owner) Extend(until time.Time) {
	o.until = until
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() uint64 {
	return o.epoch
}

// Settled reports whether the buckets are known and granted from.
func (o *Owner) Settled() bool {
	return o.settle == nil
}

// Configure takes new limits. A new workspace starts with its whole burst: nobody
// can have drawn from it before. So an owner that is made as soon as its process leads,
// before the first configuration, refuses nothing inside the rate at a first start.
func (o *Owner) Configure(limits map[string]Limit, now time.Time) {
	for name, l := range limits {
		b, known := o.buckets[name]
		switch {
		case known:
			b.configure(l, now)
		case o.settle == nil:
			o.buckets[name] = newBucket(l, l.Burst, now)
		default:
			if _, before := o.limits[name]; !before {
				o.settle.fresh[name] = true
			}
		}
	}
	for name := range o.buckets {
		if _, stays := limits[name]; !stays {
			o.remove(name)
		}
	}
	o.limits = limits
}

// remove forgets a workspace and what was granted from it.
func (o *Owner) remove(name string) {
	delete(o.buckets, name)
	for _, r := range o.hosts {
		delete(r.held, name)
	}
}

// Draw takes a holder's statement and answers it. Errors: fault.NotLeader after the
// lease or when the holder has seen a later owner; fault.Conflict for a message older than
// the newest one of that holder.
func (o *Owner) Draw(d *Draw, now time.Time) (*Reply, error) {
	if !now.Before(o.until) {
		return nil, fault.New(fault.NotLeader, "the leader's lease has ended")
	}
	if d.Epoch > o.epoch {
		return nil, fault.New(fault.NotLeader, "a later owner exists")
	}
	o.lapse(now)
	r := o.record(d.From)
	if d.Sequence < r.sequence {
		return nil, fault.New(fault.Conflict, "a later message came before")
	}
	if d.Sequence == r.sequence && r.reply != nil {
		return r.reply, nil
	}
	if o.settle != nil {
		o.hear(d, r, now)
	} else {
		o.book(d, r, now)
	}
	o.trySettle(now)
	r.sequence = d.Sequence
	r.seen = now
	r.reply = o.answer(d, r, now)
	return r.reply, nil
}

func (o *Owner) record(k HostKey) *hostRecord {
	r, known := o.hosts[k]
	if !known {
		r = &hostRecord{held: make(map[string]*holding)}
		o.hosts[k] = r
	}
	return r
}

func (r *hostRecord) holding(ws string) *holding {
	h, known := r.held[ws]
	if !known {
		h = &holding{}
		r.held[ws] = h
	}
	return h
}

// book takes a statement. Holdings under an earlier owner that were not stated while
// this one settled are not in the record, so they are void.
func (o *Owner) book(d *Draw, r *hostRecord, now time.Time) {
	lost := d.Applied != r.sequence
	stated := make(map[string]bool, len(d.Items))
	for _, item := range d.Items {
		stated[item.Workspace] = true
		o.bookItem(d, item, r.holding(item.Workspace), lost, now)
	}
	for _, ws := range slices.Sorted(maps.Keys(r.held)) {
		if !stated[ws] {
			o.bookItem(d, DrawItem{Workspace: ws}, r.held[ws], lost, now)
		}
	}
}

// bookItem moves what the holder spent, returned, or never received.
func (o *Owner) bookItem(d *Draw, item DrawItem, h *holding, lost bool, now time.Time) {
	b, known := o.buckets[item.Workspace]
	if !known {
		return
	}
	b.refill(now)
	if item.Need == 0 {
		b.line.leave(d.From)
	}
	if lost {
		// The holder never applied the newest reply and will not: the tokens in it
		// were not spent. Without this a lost reply would cost the workspace its grant.
		b.takeBack(h.granted)
		h.tokens -= h.granted
	}
	back := min(max(0, item.Return), h.tokens)
	keep := min(max(0, item.Holding), h.tokens-back)
	b.takeBack(back)
	b.spend(h.tokens - back - keep)
	h.tokens, h.granted = keep, 0
	h.reports.add(d.Sequence, b.mark())
	for _, f := range item.Refunds {
		// A charge that an earlier owner booked is not refunded: the level that this
		// owner began with may not have counted it.
		if since, booked := h.reports.step(f.Charged); booked {
			b.refund(f.Tokens, since)
		}
	}
	h.lapses = now.Add(Validity + validityMargin)
}

// forgetAfter is when an unreachable holder's record is removed.
const forgetAfter = 10 * time.Minute

// Level is the state of one bucket, in tokens.
type Level struct {
	Workspace string
	Free      int64
	Granted   int64
}

// Levels returns the state of all buckets in order of name.
func (o *Owner) Levels(now time.Time) []Level {
	levels := make([]Level, 0, len(o.buckets))
	for _, name := range slices.Sorted(maps.Keys(o.buckets)) {
		b := o.buckets[name]
		b.refill(now)
		levels = append(levels, Level{name, b.tokens(), b.out / microPerToken})
	}
	return levels
}

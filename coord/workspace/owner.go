package workspace

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: all hosts charge the same workspaces; owner changes, bad networks, frozen processes.
// Without it: hosts that each enforce rate/hosts refuse calls inside the rate when callers are
// spread unevenly, and hosts that each enforce the whole rate exceed it.
// Rule: one owner grants tokens, and grants expire. Grants ahead of need are a small part of the
// burst, since other hosts cannot spend them. A call without granted tokens waits one round trip.

const (
	// GrantTTL is how long a holder may spend a grant, counted from when it sent the Draw.
	GrantTTL = time.Second
	// grantTTLMargin is how long the owner waits beyond GrantTTL before it treats a grant as
	// expired. It covers clocks that run at different rates.
	grantTTLMargin = GrantTTL / clockDriftDivisor
	// clockDriftDivisor: durations measured by another host's clock are corrected by
	// 1/clockDriftDivisor for clock drift.
	clockDriftDivisor = 8
	// prefetchDivisor limits the tokens that all hosts keep ahead of need to
	// burst/prefetchDivisor.
	prefetchDivisor = 32
	// prefetchHorizon is the duration of recent use that a holder is granted ahead of need.
	prefetchHorizon = 60 * time.Millisecond
	// recoveryRetryAfter is the retry delay of holders while a new owner recovers its buckets.
	recoveryRetryAfter = 20 * time.Millisecond
	// activeHostTimeout is how long a host counts as active after its last Draw.
	activeHostTimeout = 2 * GrantTTL
)

// Owner keeps the bucket of every workspace. Only the control leader has one, and each new
// leader creates its own.
type Owner struct {
	epoch     uint64
	began     time.Time
	leaseEnd  time.Time // of the leader
	limits    map[string]Limit
	buckets   map[string]*bucket
	hosts     map[HostKey]*hostRecord
	recovery  *recovery // nil once the buckets have been recovered
	recovered time.Time // end of the recovery; zero if there was no earlier owner
	// lastScan is the time of the last scan of all holdings, and activeHosts the number of
	// active hosts that it found. Expiry is detected up to scanInterval late, which only
	// keeps tokens counted as granted a little longer.
	lastScan    time.Time
	activeHosts int64
}

// scanInterval is the shortest time between two scans of all holdings. It keeps the cost of
// one Draw independent of the number of hosts.
const scanInterval = 10 * time.Millisecond

// hostRecord is the owner's state for one holder.
type hostRecord struct {
	sequence uint64 // of the newest Draw
	reply    *Reply // to the newest Draw
	seen     time.Time
	held     map[string]*holding
}

// holding is the tokens of one workspace that one holder has.
type holding struct {
	tokens  int64 // granted and not known to be spent
	granted int64 // part of tokens that the newest reply granted
	expires time.Time
	reports reportLog
}

// NewOwner returns the owner of an epoch, which increases with each leader. Hosts must name
// every incarnation of an entry host that may have drawn from an earlier owner within the last
// GrantTTL plus the longest Limit.Window. If there are none, the buckets start full.
func NewOwner(epoch uint64, limits map[string]Limit, hosts []HostKey, now time.Time) *Owner {
	o := &Owner{
		epoch:    epoch,
		began:    now,
		limits:   limits,
		buckets:  make(map[string]*bucket, len(limits)),
		hosts:    make(map[HostKey]*hostRecord),
		recovery: newRecovery(hosts, now),
	}
	o.tryRecover(now)
	return o
}

// ExtendLease sets the end of the leader's lease, after which Draw fails. A leader that resumes
// after a freeze therefore grants nothing: another one may own the buckets by then.
func (o *Owner) ExtendLease(until time.Time) {
	o.leaseEnd = until
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() uint64 {
	return o.epoch
}

// Ready reports whether the buckets have been recovered, so that tokens can be granted.
func (o *Owner) Ready() bool {
	return o.recovery == nil
}

// Configure replaces the limits. A new workspace starts with its whole burst, since no host
// can have drawn from it before. An owner that is created as soon as its process leads, before
// the first configuration, therefore refuses no calls inside the rate on a first start.
func (o *Owner) Configure(limits map[string]Limit, now time.Time) {
	for name, l := range limits {
		b, known := o.buckets[name]
		switch {
		case known:
			b.configure(l, now)
		case o.recovery == nil:
			o.buckets[name] = newBucket(l, l.Burst, now)
		default:
			if _, before := o.limits[name]; !before {
				o.recovery.newWorkspaces[name] = true
			}
		}
	}
	for name := range o.buckets {
		if _, stays := limits[name]; !stays {
			o.removeWorkspace(name)
		}
	}
	o.limits = limits
}

// removeWorkspace deletes the bucket and all holdings of a workspace.
func (o *Owner) removeWorkspace(name string) {
	delete(o.buckets, name)
	for _, r := range o.hosts {
		delete(r.held, name)
	}
}

// Draw applies a holder's message and returns the reply. A message with the same sequence as
// the holder's newest one gets the same reply again. Errors: fault.NotLeader after the end of
// the lease, or if the holder has seen a later owner; fault.Conflict for a message older than
// the newest one of that holder.
func (o *Owner) Draw(d *Draw, now time.Time) (*Reply, error) {
	if !now.Before(o.leaseEnd) {
		return nil, fault.New(fault.NotLeader, "the leader's lease has ended")
	}
	if d.Epoch > o.epoch {
		return nil, fault.New(fault.NotLeader, "the holder has seen a later owner")
	}
	o.expireGrants(now)
	r := o.record(d.From)
	if d.Sequence < r.sequence {
		return nil, fault.New(fault.Conflict, "a later message of this holder has been processed")
	}
	if d.Sequence == r.sequence && r.reply != nil {
		return r.reply, nil
	}
	if o.recovery != nil {
		o.collectReport(d, r, now)
	} else {
		o.applyDraw(d, r, now)
	}
	o.tryRecover(now)
	r.sequence = d.Sequence
	r.seen = now
	r.reply = o.makeReply(d, r, now)
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

// applyDraw applies a holder's message to the buckets. Holdings from an earlier owner that
// were not reported during recovery are not in the record, so they are void.
func (o *Owner) applyDraw(d *Draw, r *hostRecord, now time.Time) {
	lost := d.Applied != r.sequence
	reported := make(map[string]bool, len(d.Items))
	for _, item := range d.Items {
		reported[item.Workspace] = true
		o.applyItem(d, item, r.holding(item.Workspace), lost, now)
	}
	for _, ws := range slices.Sorted(maps.Keys(r.held)) {
		if !reported[ws] {
			o.applyItem(d, DrawItem{Workspace: ws}, r.held[ws], lost, now)
		}
	}
}

// applyItem updates a bucket with the tokens that the holder spent, returned or never
// received. Lost is true if the holder has not applied the newest reply.
func (o *Owner) applyItem(d *Draw, item DrawItem, h *holding, lost bool, now time.Time) {
	b, known := o.buckets[item.Workspace]
	if !known {
		return
	}
	b.refill(now)
	if item.Need == 0 {
		b.queue.remove(d.From)
	}
	if lost {
		// The holder has not applied the newest reply and never will, so its tokens were not
		// spent. Without this, the workspace would lose the tokens of a lost reply.
		b.takeBack(h.granted)
		h.tokens -= h.granted
	}
	back := min(max(0, item.Return), h.tokens)
	keep := min(max(0, item.Holding), h.tokens-back)
	b.takeBack(back)
	b.spend(h.tokens - back - keep)
	h.tokens, h.granted = keep, 0
	h.reports.add(d.Sequence, b.nextStep())
	for _, f := range item.Refunds {
		// A charge that was reported to an earlier owner is not refunded: the level that
		// this owner started with may not include it.
		if since, booked := h.reports.step(f.ChargeSequence); booked {
			b.refund(f.Tokens, since)
		}
	}
	h.expires = now.Add(GrantTTL + grantTTLMargin)
}

// hostRecordTTL is how long the record of an unreachable holder is kept.
const hostRecordTTL = 10 * time.Minute

// Level is the state of one bucket, in tokens.
type Level struct {
	Workspace string
	Free      int64
	Granted   int64
}

// Levels returns the state of all buckets, sorted by workspace.
func (o *Owner) Levels(now time.Time) []Level {
	levels := make([]Level, 0, len(o.buckets))
	for _, name := range slices.Sorted(maps.Keys(o.buckets)) {
		b := o.buckets[name]
		b.refill(now)
		levels = append(levels, Level{name, b.freeTokens(), b.granted / microPerToken})
	}
	return levels
}

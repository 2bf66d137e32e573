package workspace

import (
	"maps"
	"slices"
	"time"
)

// Load pattern: the control leader fails while all entry hosts spend tokens.
// Without it: a new owner with full buckets grants a second burst at once, and one with empty
// buckets refuses calls inside the rate for burst/rate seconds.
// Rule: free = burst - charged - held by the reports of all hosts. If a host does not report, the
// bucket starts empty and the host's prefetched tokens count as granted until they expire.

// recovery is the state that a new owner collects from the holders to rebuild its buckets.
type recovery struct {
	began             time.Time
	excessExpired     time.Time                 // when every holder has dropped what exceeds its prefetch limit
	grantsExpired     time.Time                 // when every grant of earlier owners has expired
	awaited           map[HostKey]bool          // hosts whose report is needed
	uptimes           map[HostKey]time.Duration // of the hosts that have reported
	firstIncarnations map[HostKey]bool          // incarnations without an earlier one on the same host
	spent             map[string]int64          // charged in the last window, held or returned, by workspace
	newWorkspaces     map[string]bool           // configured under this owner only
}

func newRecovery(hosts []HostKey, now time.Time) *recovery {
	r := &recovery{
		began:             now,
		excessExpired:     now.Add(ReplyTimeout + ReplyTimeout/clockDriftDivisor),
		grantsExpired:     now.Add(GrantTTL + grantTTLMargin),
		awaited:           make(map[HostKey]bool, len(hosts)),
		uptimes:           make(map[HostKey]time.Duration, len(hosts)),
		firstIncarnations: make(map[HostKey]bool),
		spent:             make(map[string]int64),
		newWorkspaces:     make(map[string]bool),
	}
	for _, h := range hosts {
		r.awaited[h] = true
	}
	return r
}

// MarkFirstIncarnations names incarnations of entry hosts that had no earlier one. As nothing
// was charged on such a host before, its report covers the whole window, whatever its uptime.
// Without this, a fleet that has just been started refuses calls for burst/rate seconds, because the
// uptime of every process is shorter than the window.
func (o *Owner) MarkFirstIncarnations(hosts []HostKey) {
	if o.recovery == nil {
		return
	}
	for _, h := range hosts {
		o.recovery.firstIncarnations[h] = true
	}
}

// collectReport records a holder's message during recovery. The first message of a holder
// counts; by a later one it can only have spent from the tokens that it reported before.
func (o *Owner) collectReport(d *Draw, r *hostRecord, now time.Time) {
	if !o.recovery.awaited[d.From] {
		return
	}
	_, again := o.recovery.uptimes[d.From]
	for _, item := range d.Items {
		h := r.holding(item.Workspace)
		kept := max(0, item.Holding)
		if again {
			h.tokens = min(h.tokens, kept)
			continue
		}
		o.recovery.spent[item.Workspace] += max(0, item.SpentInWindow) + kept + max(0, item.Return)
		h.tokens = kept
		h.expires = now.Add(GrantTTL + grantTTLMargin)
	}
	if !again {
		o.recovery.uptimes[d.From] = d.Uptime
	}
}

// tryRecover creates the buckets once all hosts have reported, or once the deadline for
// unreachable hosts has passed. In the latter case the bucket counts as empty at the change of
// owner and refilled since, and the prefetched tokens of the unreachable hosts count as granted
// until they expire.
func (o *Owner) tryRecover(now time.Time) {
	if o.recovery == nil {
		return
	}
	unreachable := len(o.recovery.awaited) - len(o.recovery.uptimes)
	if unreachable > 0 && now.Before(o.recovery.deadline(unreachable)) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(o.limits)) {
		l := o.limits[name]
		free, began := int64(0), o.recovery.began
		if o.recovery.newWorkspaces[name] {
			free, began = l.Burst, now
		} else if least := o.recovery.minFree(name, l); unreachable == 0 && least > l.tokensIn(now.Sub(began)) {
			free, began = least, now
		}
		o.buckets[name] = newBucket(l, free, began)
	}
	o.assumePrefetched(unreachable, now)
	o.adoptHoldings(now)
	for _, b := range o.buckets {
		b.refill(now)
	}
	if len(o.recovery.awaited) > 0 {
		o.recovered = now
	}
	o.recovery = nil
}

// deadline returns when the buckets are created without the reports of unreachable hosts. With
// few of them, that is when they have at most their prefetched tokens left; with so many that
// those tokens could fill half of a bucket, it is when all their grants have expired.
func (r *recovery) deadline(unreachable int) time.Time {
	if unreachable < prefetchDivisor/2 {
		return r.excessExpired
	}
	return r.grantsExpired
}

// unreachableHosts is the key of the record of the tokens that unreachable hosts may hold.
var unreachableHosts = HostKey{}

// assumePrefetched counts the most tokens that unreachable hosts may have prefetched as
// granted until they expire.
func (o *Owner) assumePrefetched(unreachable int, now time.Time) {
	if unreachable == 0 || !now.Before(o.recovery.grantsExpired) {
		return
	}
	r := o.record(unreachableHosts)
	r.seen = now
	for name, l := range o.limits {
		if o.recovery.newWorkspaces[name] {
			continue // no earlier owner granted tokens of it
		}
		h := r.holding(name)
		h.tokens = int64(unreachable) * l.maxPrefetch()
		h.expires = o.recovery.grantsExpired
	}
}

// minFree returns the minimum level of a workspace's bucket, given the reports of all hosts. A
// report covers the time since its host's start; by then the earlier incarnation had ended. In
// the worst case the bucket was empty at the most recent of these starts, and has been refilled
// since, less the reported charges and holdings.
//
// Without it, calls inside the rate are refused after a restart of the whole fleet for as long
// as the bucket takes to fill, although no host could charge during the restart.
func (r *recovery) minFree(name string, l Limit) int64 {
	filled := l.Burst
	for host, up := range r.uptimes {
		if !r.firstIncarnations[host] && up < l.Window() {
			filled = min(filled, l.tokensIn(up-up/clockDriftDivisor)) // its clock may run fast
		}
	}
	return max(0, filled-r.spent[name])
}

// adoptHoldings counts the reported holdings as granted by this owner.
func (o *Owner) adoptHoldings(now time.Time) {
	for _, r := range o.hosts {
		for ws, h := range r.held {
			b, known := o.buckets[ws]
			if !known {
				h.tokens = 0
				continue
			}
			b.granted += h.tokens * microPerToken
			b.headroom = headroomHistory{}
			b.recordHeadroom()
		}
	}
}

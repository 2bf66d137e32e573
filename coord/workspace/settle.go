package workspace

import (
	"maps"
	"slices"
	"time"
)

// Load pattern: the control leader is lost while all entry hosts spend.
//
// Without it: a new owner with a full bucket grants a second burst at once, and one that
// starts empty refuses calls inside the rate for burst/rate seconds.
// Rule: once every host that may hold grants has stated what it charged in the last window and
// what it holds, free = burst - charged - held. Without the statement of an unreachable host the
// bucket begins once every reply of an earlier owner has arrived or is void: empty at the change
// of owner, refilled since, with that host's stock counted as granted until it lapses.

// settlement collects statements for a new owner.
type settlement struct {
	began   time.Time
	stocks  time.Time // when no host has more than its stock from an earlier owner
	ends    time.Time // when every grant of earlier owners has lapsed
	awaited map[HostKey]bool
	uptimes map[HostKey]time.Duration
	first   map[HostKey]bool // runs before which their host had none
	spent   map[string]int64
	fresh   map[string]bool // workspaces that were given under this owner
}

func newSettlement(hosts []HostKey, now time.Time) *settlement {
	s := &settlement{
		began:   now,
		stocks:  now.Add(ReplyTimeout + ReplyTimeout/clockShare),
		ends:    now.Add(Validity + validityMargin),
		awaited: make(map[HostKey]bool, len(hosts)),
		uptimes: make(map[HostKey]time.Duration, len(hosts)),
		first:   make(map[HostKey]bool),
		spent:   make(map[string]int64),
		fresh:   make(map[string]bool),
	}
	for _, h := range hosts {
		s.awaited[h] = true
	}
	return s
}

// FirstRuns names runs of entry hosts before which the same host had none. Nobody
// drew on such a host before it, so its statement covers the window however young
// it is. Without this, a fleet that has just been started refuses calls for
// burst/rate seconds: every process is younger than the window.
func (o *Owner) FirstRuns(hosts []HostKey) {
	if o.settle == nil {
		return
	}
	for _, h := range hosts {
		o.settle.first[h] = true
	}
}

// hear takes a statement while the buckets are not known. A holder's first one
// counts; in later ones it can only have spent from what it stated.
func (o *Owner) hear(d *Draw, r *hostRecord, now time.Time) {
	if !o.settle.awaited[d.From] {
		return
	}
	_, again := o.settle.uptimes[d.From]
	for _, item := range d.Items {
		h := r.holding(item.Workspace)
		kept := max(0, item.Holding)
		if again {
			h.tokens = min(h.tokens, kept)
			continue
		}
		o.settle.spent[item.Workspace] += max(0, item.SpentInWindow) + kept + max(0, item.Return)
		h.tokens = kept
		h.lapses = now.Add(Validity + validityMargin)
	}
	if !again {
		o.settle.uptimes[d.From] = d.Uptime
	}
}

// trySettle makes the buckets when the statements are complete or the grants of
// earlier owners have lapsed.
func (o *Owner) trySettle(now time.Time) {
	if o.settle == nil {
		return
	}
	silent := len(o.settle.awaited) - len(o.settle.uptimes)
	if silent > 0 && now.Before(o.settle.due(silent)) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(o.limits)) {
		l := o.limits[name]
		free, began := int64(0), o.settle.began
		if o.settle.fresh[name] {
			free, began = l.Burst, now
		} else if least := o.settle.least(name, l); silent == 0 && least > l.in(now.Sub(began)) {
			free, began = least, now
		}
		o.buckets[name] = newBucket(l, free, began)
	}
	o.assumeStocks(silent, now)
	o.adoptHoldings(now)
	for _, b := range o.buckets {
		b.refill(now)
	}
	if len(o.settle.awaited) > 0 {
		o.settled = now
	}
	o.settle = nil
}

// due returns when the buckets begin without the unreachable hosts: at once where
// their stocks leave room in a bucket, else when these have lapsed.
func (s *settlement) due(silent int) time.Time {
	if silent < aheadShare/2 {
		return s.stocks
	}
	return s.ends
}

// silentHosts is the record of what unreachable hosts may hold.
var silentHosts = HostKey{}

// assumeStocks counts the stocks of unreachable hosts as granted until they lapse.
func (o *Owner) assumeStocks(silent int, now time.Time) {
	if silent == 0 || !now.Before(o.settle.ends) {
		return
	}
	r := o.record(silentHosts)
	r.seen = now
	for name, l := range o.limits {
		if o.settle.fresh[name] {
			continue // an earlier owner granted nothing of it
		}
		h := r.holding(name)
		h.tokens = int64(silent) * l.stock()
		h.lapses = o.settle.ends
	}
}

// least returns what is in a workspace's bucket at least, once all hosts have stated. No
// statement reaches further back than its host's start, when its earlier run had ended.
// Had all been spent just before the youngest of these starts, the bucket would have been
// empty then, and filled since but for what the hosts state.
//
// Without it, after a stop of the whole fleet calls inside the rate are refused for as
// long as the bucket takes to fill, although for a second nobody could spend from it.
func (s *settlement) least(name string, l Limit) int64 {
	filled := l.Burst
	for host, up := range s.uptimes {
		if !s.first[host] && up < l.Window() {
			filled = min(filled, l.in(up-up/clockShare)) // its clock may run fast
		}
	}
	return max(0, filled-s.spent[name])
}

// adoptHoldings counts what holders stated as granted by this owner.
func (o *Owner) adoptHoldings(now time.Time) {
	for _, r := range o.hosts {
		for ws, h := range r.held {
			b, known := o.buckets[ws]
			if !known {
				h.tokens = 0
				continue
			}
			b.out += h.tokens * microPerToken
			b.room = roomHistory{}
			b.note()
		}
	}
}

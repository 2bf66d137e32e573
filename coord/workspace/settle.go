package workspace

import (
	"maps"
	"slices"
	"time"
)

// Load pattern: the control leader is lost while all entry hosts spend.
//
// Without this file: a new owner with a full bucket grants a second burst at once,
// and one that starts empty refuses calls inside the rate for burst/rate seconds.
//
// The rule: what was charged in the last burst/rate window plus what holders still
// have bounds how far the bucket can be down, so when every host that may hold grants
// has stated both, free = burst - charged - held. It takes one message of each host.
// When one stays silent, its grants have lapsed after Validity and its charges are not
// known: the bucket starts empty then, which is right whatever it charged.

// settlement collects statements for a new owner.
type settlement struct {
	ends    time.Time // when every grant of earlier owners has lapsed
	awaited map[HostKey]bool
	uptimes map[HostKey]time.Duration
	first   map[HostKey]bool // runs before which their host had none
	spent   map[string]int64
	fresh   map[string]bool // workspaces that were given under this owner
}

func newSettlement(hosts []HostKey, now time.Time) *settlement {
	s := &settlement{
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
	heard := len(o.settle.uptimes) == len(o.settle.awaited)
	if !heard && now.Before(o.settle.ends) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(o.limits)) {
		l := o.limits[name]
		free := int64(0)
		if o.settle.fresh[name] {
			free = l.Burst
		} else if heard && o.settle.covers(l.Window()) {
			free = max(0, l.Burst-o.settle.spent[name])
		}
		o.buckets[name] = newBucket(l, free, now)
	}
	o.adoptHoldings(now)
	o.settle = nil
}

// covers reports whether every statement reaches back over a whole window. A host
// that restarted within it does not know what its earlier run charged.
func (s *settlement) covers(window time.Duration) bool {
	for host, up := range s.uptimes {
		if up < window && !s.first[host] {
			return false
		}
	}
	return true
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

package request

import (
	"slices"
	"strconv"
	"time"
)

// Load pattern: a target that runs requests of several hosts crashes, because of one of them or
// by itself. Callers of all of them retry.
// Without it: the request that caused the crash takes down target after target, or requests
// that caused none are refused with it.
// Rule: a crash is a shared strike against each request that ran there, if its run began after the
// strikes before. A later run that gets further than that disproves the strike. A crash under
// a request that is refused is not held against the others. Before its last strike a request is
// paced at its target.

// Many callers may send equal requests. When several targets fail at once, for a reason of their
// own, each runs some of these; the crashes count as one.

const (
	// SuspectTTL is how long strikes count that are not enough to refuse a request.
	SuspectTTL = 10 * time.Minute
	// FirstRefusal is for how long a request is refused for shared strikes alone. It may have been
	// in crashes that it did not cause. It is then tried again; one more strike refuses it for
	// StrikeTTL.
	FirstRefusal = 5 * time.Minute
	// SuspectsPerSecond is how many requests that are one strike short of being refused start at
	// a target, from all hosts together. Otherwise all requests that wait for the only target
	// with their model would get their last strike at once, whichever of them is bad.
	SuspectsPerSecond = 1
	// maxSharedStrikes limits the strikes kept of one request. Those that do not count show which
	// crashes it explains.
	maxSharedStrikes = 8
	// localStrikeTTL is how long a host keeps its own strikes. They count from the crash on; all
	// hosts have them once control has committed them, well within this time.
	localStrikeTTL = 5 * time.Second
	// maxLocalRequests limits the requests of which a host keeps its own strikes.
	maxLocalRequests = 4096
)

// IsCrash reports whether an attempt whose connection broke is evidence against its request. A
// process that ended on a host that still answers has crashed, unless its end was announced.
func IsCrash(processEnded, leaving bool) bool { return processEnded && !leaving }

// CrashID identifies the lifetime of a target that ended, so that all requests and hosts that
// saw the crash give it the same id.
func CrashID(instance string, startedUnixMs int64) string {
	return instance + "@" + strconv.FormatInt(startedUnixMs, 10)
}

// SharedStrike is a crash of a target under several requests, as recorded against one of them.
type SharedStrike struct {
	Crash      string // see CrashID
	Progress   uint64 // events of its answer that the request had got by then
	At         time.Time
	Concurrent bool // the run began before an earlier strike; it does not count
}

// CountShared returns the number of strikes that count.
func CountShared(strikes []SharedStrike) int {
	n := 0
	for _, s := range strikes {
		if !s.Concurrent {
			n++
		}
	}
	return n
}

// AddSharedStrike returns the strikes with one more, of a run that began at began. Strikes at an
// earlier point of the answer are dropped: the request has got past the point at which it would
// have crashed the target. The same crash counts once.
func AddSharedStrike(strikes []SharedStrike, s SharedStrike, began time.Time) []SharedStrike {
	s.Concurrent = slices.ContainsFunc(strikes, func(old SharedStrike) bool { return !old.Concurrent && began.Before(old.At) })
	return mergeStrike(strikes, s)
}

// mergeStrike is AddSharedStrike of a strike that is known to be concurrent or not.
func mergeStrike(strikes []SharedStrike, s SharedStrike) []SharedStrike {
	out := []SharedStrike{}
	for _, old := range strikes {
		if old.Progress >= s.Progress || old.Crash == s.Crash {
			out = append(out, old)
		}
	}
	if !slices.ContainsFunc(out, func(old SharedStrike) bool { return old.Crash == s.Crash }) {
		out = append(out, s)
	}
	return limitStrikes(out)
}

// limitStrikes drops the oldest strikes that do not count, then the oldest ones.
func limitStrikes(strikes []SharedStrike) []SharedStrike {
	for len(strikes) > maxSharedStrikes {
		oldest := max(0, slices.IndexFunc(strikes, func(s SharedStrike) bool { return s.Concurrent }))
		strikes = slices.Delete(strikes, oldest, oldest+1)
	}
	return strikes
}

// refusedUntil returns when the refusal for shared strikes ends.
func refusedUntil(strikes []SharedStrike) time.Time {
	var last time.Time
	for _, s := range strikes {
		if !s.Concurrent && s.At.After(last) {
			last = s.At
		}
	}
	if CountShared(strikes) > MaxSharedStrikes {
		return last.Add(StrikeTTL)
	}
	return last.Add(FirstRefusal)
}

// WithShared returns the strikes with the shared ones added.
func WithShared(s Strikes, shared []SharedStrike) Strikes {
	s.Shared = CountShared(shared)
	if s.Shared > 0 && s.Count == 0 {
		s.Until = refusedUntil(shared)
	}
	return s
}

// MustPace reports whether one more shared strike refuses a request: the first time, or again.
func MustPace(s Strikes, now time.Time) bool {
	next := s
	next.Shared++
	return now.Before(s.Expires) && next.Quarantined() && CheckStrikes(s, now) == nil
}

// LocalStrikes are the shared strikes that one host has seen itself. They count before control
// has committed them. It is not safe for concurrent use.
type LocalStrikes struct {
	rows    map[Fingerprint]localStrikes
	sweepAt time.Time // when expired rows are removed next
}

type localStrikes struct {
	strikes []SharedStrike
	expires time.Time
}

// NewLocalStrikes returns an empty table.
func NewLocalStrikes() *LocalStrikes {
	return &LocalStrikes{rows: map[Fingerprint]localStrikes{}}
}

// Empty reports whether there are no strikes.
func (l *LocalStrikes) Empty(now time.Time) bool {
	l.sweep(now)
	return len(l.rows) == 0
}

// Record adds a strike against a request, at s.At, of a run that began at began. The table is full
// at maxLocalRequests: the strike then counts once control has committed it.
func (l *LocalStrikes) Record(f Fingerprint, s SharedStrike, began time.Time) {
	now := s.At
	l.sweep(now)
	row, exists := l.rows[f]
	if !exists && len(l.rows) >= maxLocalRequests {
		return
	}
	l.rows[f] = localStrikes{strikes: AddSharedStrike(row.strikes, s, began), expires: now.Add(localStrikeTTL)}
}

// Clear removes the strikes of a request that a target has run to its end.
func (l *LocalStrikes) Clear(f Fingerprint) { delete(l.rows, f) }

// Combine returns s, the strikes that control has committed, with the committed shared strikes and
// the host's own.
func (l *LocalStrikes) Combine(f Fingerprint, committed []SharedStrike, s Strikes, now time.Time) Strikes {
	all := committed
	row := l.rows[f]
	if now.Before(row.expires) {
		for _, own := range row.strikes {
			all = mergeStrike(all, own)
		}
		if row.expires.After(s.Expires) {
			s.Expires = row.expires
		}
	}
	return WithShared(s, all)
}

// sweep removes expired rows, at most once in localStrikeTTL.
func (l *LocalStrikes) sweep(now time.Time) {
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(localStrikeTTL)
	for f, row := range l.rows {
		if !now.Before(row.expires) {
			delete(l.rows, f)
		}
	}
}

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
// Rule: a crash is a shared strike against each request that ran there. A later run that gets
// further than that disproves the strike. A crash under a request that is refused is not held
// against the others. Before its last strike a request is paced at its target.

const (
	// SuspectTTL is how long strikes count that are not enough to refuse a request.
	SuspectTTL = 10 * time.Minute
	// SuspectsPerSecond is how many requests that are one strike short of being refused start at
	// a target, from all hosts together. Otherwise all requests that wait for the only target
	// with their model would get their last strike at once, whichever of them is bad.
	SuspectsPerSecond = 1
	// maxSharedStrikes limits the strikes kept of one request. Those beyond MaxSharedStrikes show
	// which crashes it explains.
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
	Crash    string // see CrashID
	Progress uint64 // events of its answer that the request had got by then
}

// AddSharedStrike returns the strikes with one more. Strikes at an earlier point of the answer
// are dropped: the request has got past the point at which it would have crashed the target. The
// same crash counts once.
func AddSharedStrike(strikes []SharedStrike, s SharedStrike) []SharedStrike {
	out := []SharedStrike{}
	for _, old := range strikes {
		if old.Progress >= s.Progress || old.Crash == s.Crash {
			out = append(out, old)
		}
	}
	if !slices.ContainsFunc(out, func(old SharedStrike) bool { return old.Crash == s.Crash }) {
		out = append(out, s)
	}
	return out[max(0, len(out)-maxSharedStrikes):]
}

// MustPace reports whether a request is one shared strike short of being refused.
func MustPace(s Strikes, now time.Time) bool {
	next := s
	next.Shared++
	return now.Before(s.Expires) && !s.Quarantined() && next.Quarantined()
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

// Record adds a strike against a request. The table is full at maxLocalRequests: the strike then
// counts once control has committed it.
func (l *LocalStrikes) Record(f Fingerprint, s SharedStrike, now time.Time) {
	l.sweep(now)
	row, known := l.rows[f]
	if !known && len(l.rows) >= maxLocalRequests {
		return
	}
	l.rows[f] = localStrikes{strikes: AddSharedStrike(row.strikes, s), expires: now.Add(localStrikeTTL)}
}

// Clear removes the strikes of a request that a target has run to its end.
func (l *LocalStrikes) Clear(f Fingerprint) { delete(l.rows, f) }

// Add returns the strikes that control has committed together with the host's own.
func (l *LocalStrikes) Add(f Fingerprint, committed []SharedStrike, s Strikes, now time.Time) Strikes {
	all := committed
	row := l.rows[f]
	if !now.Before(row.expires) {
		s.Shared = len(all)
		return s
	}
	for _, own := range row.strikes {
		all = AddSharedStrike(all, own)
	}
	s.Shared = len(all)
	if row.expires.After(s.Expires) {
		s.Expires = row.expires
	}
	return s
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

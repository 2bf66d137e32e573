package request

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: one part of the prompt crashes each target that begins to write an answer on it.
// Requests with that part come at any host and no two are alike.
// Without it: no request gets a second strike, and target after target crashes for hours.
// Rule: a crash is a strike against the parts of all requests there that had no event of an answer.
// A run that writes an answer on a part clears it. Three crashes without one refuse the part.

const (
	// MaxParts limits the parts of a request that are considered; callers choose the list.
	MaxParts = 16
	// PartClearingEvents is the number of events of one attempt that prove its parts to be sound. A
	// bad part crashes its target as the answer begins.
	PartClearingEvents = 4
	// PartStrikesToRefuse is the number of crashes that refuse a part. Two happen to a sound part that
	// is seldom used, when targets end by themselves. They must be of more than one request: the
	// strikes of a request that is repeated are its own.
	PartStrikesToRefuse = 3
	// PartStrikesToSplit refuses a part by itself, whatever other parts were in the same crashes.
	PartStrikesToSplit = PartStrikesToRefuse + 1
	// PartRefusal is how long a part is refused after its last crash. Each end of a refusal lets
	// requests with the part reach targets at all hosts at once, so it is not within the same day.
	PartRefusal = 24 * time.Hour
	// PartMemory is how long a part is remembered after its last crash. Between PartRefusal and
	// PartMemory one crash refuses it again. Strikes that are not enough are kept as long: a bad part
	// may come once in an hour, and a run on a sound part clears it.
	PartMemory = 2 * PartRefusal
	// partCrashSpacing is the least time between crashes that count. Targets that end together, for a
	// reason of their own, are one crash to the parts that were on several of them.
	partCrashSpacing = 100 * time.Millisecond
	// maxPartCrashes limits the crashes kept of one part. Those that do not count show which crashes
	// it explains.
	maxPartCrashes = 8
	// clearingRepeat is when a report that cleared a part is repeated, if the part still has the same
	// strikes.
	clearingRepeat = time.Second
	// completedPartTTL is how long a run on a part protects it from strikes.
	completedPartTTL = time.Minute
	// protectedCrashes is how many crashes since a part's last run at a host are not held against it. A
	// part that was sound may turn bad.
	protectedCrashes = 2
	// maxCompletedParts limits the parts that a host remembers; the one used longest ago is dropped.
	maxCompletedParts = 1 << 14
)

// Part identifies a part of a prompt by its id alone, in all workspaces. It is a prefix of the SHA-256
// digest: callers choose the ids, and must not be able to construct one that collides with another's.
type Part uint64

// PartOf returns the part with an id.
func PartOf(id string) Part {
	digest := sha256.Sum256([]byte(id))
	return Part(binary.BigEndian.Uint64(digest[:]))
}

// PartsOf returns the parts by which a request may be refused: the first MaxParts different ones
// without the last of the list, which is the request's own.
func PartsOf[P any](prompt []P, id func(P) string) []Part {
	var out []Part
	for i := 0; i < len(prompt)-1 && len(out) < MaxParts; i++ {
		text := id(prompt[i])
		if text == "" {
			continue
		}
		if p := PartOf(text); !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// PartCrash is a crash as recorded against one part.
type PartCrash struct {
	Crash   uint64 // hash of the CrashID
	Request uint64 // the only one that held the part; 0: several did
	At      time.Time
	Counted bool
}

// PartStrikes are the crashes recorded against one part. A row is not modified; changes replace it.
type PartStrikes struct {
	Workspace string // of the first request that brought it into a crash; for the table's limit
	Crashes   []PartCrash
	Tied      []Part    // parts that were refused for the same crash
	Until     time.Time // when the refusal ends; zero: it was never refused
	Expires   time.Time // when the row is forgotten
}

// Count returns the number of crashes that count.
func (s PartStrikes) Count() int {
	n := 0
	for _, c := range s.Crashes {
		if c.Counted {
			n++
		}
	}
	return n
}

// Convicted reports whether the part was refused before; the refusal may be over.
func (s PartStrikes) Convicted() bool { return !s.Until.IsZero() }

// refuses reports whether the part, which is one of parts, refuses a request with these. Parts that
// were in the same crashes refuse requests that hold all of them: a request that holds some shows
// which one is bad.
func (s PartStrikes) refuses(parts []Part, now time.Time) bool {
	if !s.Convicted() || !now.Before(s.Until) {
		return false
	}
	return s.Count() >= PartStrikesToSplit || containsAll(parts, s.Tied)
}

func containsAll(parts, wanted []Part) bool {
	return !slices.ContainsFunc(wanted, func(p Part) bool { return !slices.Contains(parts, p) })
}

// PartRows are the parts with strikes.
type PartRows map[Part]PartStrikes

// CheckParts returns a fault.Quarantined error with a retry time for a request with a part that is
// refused. Without rows the parts need not be computed: it then returns nil for any.
func CheckParts(rows PartRows, parts []Part, now time.Time) error {
	if len(rows) == 0 {
		return nil
	}
	for _, p := range parts {
		s, exists := rows[p]
		if !exists || !s.refuses(parts, now) {
			continue
		}
		left := s.Until.Sub(now)
		return fault.NewRetryAfter(fault.Quarantined, left, "a part of the prompt crashed targets %d times; refused for %v", s.Count(), left.Round(time.Second))
	}
	return nil
}

// CompletedParts remembers on which parts targets have written answers lately. It is not safe for
// concurrent use.
type CompletedParts struct {
	entries map[Part]*list.Element
	recent  *list.List // of completedPart, the latest first
}

type completedPart struct {
	part     Part
	at       time.Time
	crashes  int       // since at
	crashed  time.Time // the last that counted
	reported time.Time // when it was reported last
	strikes  time.Time // PartStrikes.Expires in that report
}

// NewCompletedParts returns an empty memory.
func NewCompletedParts() *CompletedParts {
	return &CompletedParts{entries: map[Part]*list.Element{}, recent: list.New()}
}

// Record records that a target has run a request with these parts to its end with a 2xx, or has
// written PartClearingEvents events of its answer.
func (c *CompletedParts) Record(parts []Part, now time.Time) {
	for _, p := range parts {
		c.record(p, now)
	}
}

func (c *CompletedParts) record(p Part, now time.Time) {
	if e := c.entries[p]; e != nil {
		entry := e.Value.(*completedPart)
		entry.at, entry.crashes = now, 0
		c.recent.MoveToFront(e)
		return
	}
	c.entries[p] = c.recent.PushFront(&completedPart{part: p, at: now})
	if c.recent.Len() > maxCompletedParts {
		oldest := c.recent.Remove(c.recent.Back()).(*completedPart)
		delete(c.entries, oldest.part)
	}
}

// Has reports whether a target has written an answer on the part lately, and few crashed since.
func (c *CompletedParts) Has(p Part, now time.Time) bool {
	e := c.entries[p]
	if e == nil {
		return false
	}
	entry := e.Value.(*completedPart)
	return entry.crashes <= protectedCrashes && now.Sub(entry.at) < completedPartTTL
}

// recordCrash records that a target crashed under a request with the part. The calls for one crash
// count once.
func (c *CompletedParts) recordCrash(p Part, now time.Time) {
	e := c.entries[p]
	if e == nil {
		return
	}
	if entry := e.Value.(*completedPart); !now.Before(entry.crashed.Add(partCrashSpacing)) {
		entry.crashes++
		entry.crashed = now
	}
}

// Accused returns the parts that a crash at now is held against: those without a run lately.
func (c *CompletedParts) Accused(parts []Part, now time.Time) []Part {
	var out []Part
	for _, p := range parts {
		c.recordCrash(p, now)
		if !c.Has(p, now) {
			out = append(out, p)
		}
	}
	return out
}

// Cleared returns the parts with strikes on which this host has seen a run lately, in order: those
// that it must report. It returns a part again when it has other strikes, or after clearingRepeat.
func (c *CompletedParts) Cleared(rows PartRows, now time.Time) []Part {
	var out []Part
	for p, strikes := range rows {
		if c.mustReport(p, strikes, now) {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// ClearedOf returns those of the given parts that Cleared would return. It is for the parts of a run:
// the rows may be many.
func (c *CompletedParts) ClearedOf(parts []Part, rows PartRows, now time.Time) []Part {
	var out []Part
	for _, p := range parts {
		if strikes, exists := rows[p]; exists && c.mustReport(p, strikes, now) {
			out = append(out, p)
		}
	}
	return out
}

func (c *CompletedParts) mustReport(p Part, strikes PartStrikes, now time.Time) bool {
	return c.Has(p, now) && c.entries[p].Value.(*completedPart).mustReport(strikes, now)
}

// mustReport reports whether the clearing must be reported now, and assumes that it is.
func (p *completedPart) mustReport(strikes PartStrikes, now time.Time) bool {
	if p.strikes.Equal(strikes.Expires) && now.Before(p.reported.Add(clearingRepeat)) {
		return false
	}
	p.reported, p.strikes = now, strikes.Expires
	return true
}

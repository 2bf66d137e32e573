package ratelimit

import (
	"slices"
	"time"
)

// minPerSecond is the lowest rate at which a limited target gets requests. The end of a limit
// shows only in an answer.
const minPerSecond = 0.2

// avoidFor is for how long after an observation other targets are preferred to a limited one.
// Afterwards it gets a request at its rate, whose answer shows whether the limit has ended.
const avoidFor = time.Second

// Observation is what an answer of a target says about its rate limit.
type Observation struct {
	Limited   bool      // the target announces a limit
	PerSecond float64   // requests a second, from all hosts together
	At        time.Time // when the answer was received; zero: none was
}

// Rate returns the rate in requests a second at which the target may get requests; 0: any.
func (o Observation) Rate() float64 {
	if !o.Limited {
		return 0
	}
	return max(o.PerSecond, minPerSecond)
}

// SameLimit reports whether two observations say the same, whenever they were made.
func (o Observation) SameLimit(other Observation) bool {
	return o.Limited == other.Limited && o.PerSecond == other.PerSecond
}

// Table holds the newest observation of each target, by instance.
type Table struct {
	newest  map[string]Observation
	limited map[string]bool // the targets of newest that are limited
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{newest: map[string]Observation{}, limited: map[string]bool{}} }

// Observe records an observation unless a newer one is known. It reports whether the target's
// limit changed.
func (t *Table) Observe(target string, o Observation) (changed bool) {
	known := t.newest[target]
	if o.At.Before(known.At) {
		return false
	}
	t.newest[target] = o
	if o.Limited {
		t.limited[target] = true
	} else {
		delete(t.limited, target)
	}
	return !o.SameLimit(known)
}

// Get returns the newest observation of a target; the zero value if there is none.
func (t *Table) Get(target string) Observation { return t.newest[target] }

// Limited returns the number of targets with a limit.
func (t *Table) Limited() int { return len(t.limited) }

// Avoid returns the targets to which others are preferred, sorted.
func (t *Table) Avoid(now time.Time) []string {
	var list []string
	for target := range t.limited {
		if now.Sub(t.newest[target].At) < avoidFor {
			list = append(list, target)
		}
	}
	slices.Sort(list)
	return list
}

// Retain drops the targets for which keep returns false.
func (t *Table) Retain(keep func(target string) bool) {
	for target := range t.newest {
		if !keep(target) {
			delete(t.newest, target)
			delete(t.limited, target)
		}
	}
}

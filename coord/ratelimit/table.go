package ratelimit

import "time"

// Observation is what an answer of a target says about its rate limit.
type Observation struct {
	Limited   bool      // the target announces a limit
	PerSecond float64   // requests a second, from all hosts together
	At        time.Time // when the answer was received
}

// sameLimit reports whether two observations say the same, whenever they were made.
func (o Observation) sameLimit(other Observation) bool {
	return o.Limited == other.Limited && o.PerSecond == other.PerSecond
}

// Table holds the newest observation of each target, by instance.
type Table struct {
	byTarget map[string]Observation
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byTarget: map[string]Observation{}} }

// Observe records an observation unless a newer one is known. It reports whether the target's
// limit changed.
func (t *Table) Observe(target string, o Observation) (changed bool) {
	known := t.byTarget[target]
	if o.At.Before(known.At) {
		return false
	}
	t.byTarget[target] = o
	return !o.sameLimit(known)
}

// Get returns the newest observation of a target; the zero value if there is none.
func (t *Table) Get(target string) Observation { return t.byTarget[target] }

// Retain drops the targets for which keep returns false.
func (t *Table) Retain(keep func(target string) bool) {
	for target := range t.byTarget {
		if !keep(target) {
			delete(t.byTarget, target)
		}
	}
}

// Limited returns the number of targets with a limit.
func (t *Table) Limited() int {
	n := 0
	for _, o := range t.byTarget {
		if o.Limited {
			n++
		}
	}
	return n
}

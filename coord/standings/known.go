package standings

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Load pattern: the control leader changes while callers wait for rare models.
// Without it: hosts take the new leader's incomplete table for complete, and refuse requests
// for models that targets hold until all agents have reported.
// Rule: entries that are missing from an incomplete table are kept, not deleted.

// Update is the reply to a poll of the leader's table.
type Update struct {
	Changed []Standing
	Loads   []LoadUpdate // of targets that are described by an earlier update
	Gone    []string     // instances
	Whole   bool         // the entire table
	Filling bool         // the table is incomplete
}

// Known is an entry host's copy of the target table. It is not safe for concurrent use.
type Known struct {
	rows   map[string]*Standing // by instance
	kept   bool                 // rows may be left that the leader's table lacks
	filled bool                 // a complete table was received
}

// Change is a target that is new, leaves, or is gone.
type Change struct {
	Standing *Standing
	Gone     bool
}

// NewKnown returns a host's knowledge before the first update.
func NewKnown() *Known { return &Known{rows: map[string]*Standing{}} }

// Get returns a target's status, nil for an unknown one. It must not be changed.
func (k *Known) Get(instance string) *Standing { return k.rows[instance] }

// All returns all standings by instance. Nobody may change them.
func (k *Known) All() map[string]*Standing { return k.rows }

// Complete reports whether an unknown target does not exist. That holds from the first complete
// table on, also while the next leader's is incomplete.
func (k *Known) Complete() bool { return k.filled }

// Stale reports whether the whole board must be asked for: it has filled, and rows may
// be left that it does not have.
func (k *Known) Stale(u Update) bool { return k.kept && !u.Filling }

// Take applies an update and returns what is new, leaves or is gone, in order of instance.
func (k *Known) Take(u Update) []Change {
	var changes []Change
	k.filled = k.filled || !u.Filling
	gone := u.Gone
	switch {
	case u.Whole && u.Filling:
		k.kept = len(k.rows) > 0
	case u.Whole:
		k.kept = false
		gone = k.missing(u.Changed)
	}
	for _, id := range gone {
		if row := k.rows[id]; row != nil {
			changes = append(changes, Change{row, true})
			delete(k.rows, id)
		}
	}
	for _, s := range u.Changed {
		before := k.rows[s.Instance]
		if u.Filling {
			s = withAgentsWord(s, before)
		}
		k.rows[s.Instance] = &s
		if before == nil || before.Draining != s.Draining {
			changes = append(changes, Change{&s, false})
		}
	}
	k.takeLoads(u.Loads)
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Standing.Instance, b.Standing.Instance) })
	return changes
}

// takeLoads replaces the loads of known targets. Rows are replaced, not changed: readers
// hold pointers to them.
func (k *Known) takeLoads(loads []LoadUpdate) {
	for _, l := range loads {
		before := k.rows[l.Instance]
		if before == nil {
			continue
		}
		row := *before
		row.Load, row.Version = l.Load, l.Version
		k.rows[l.Instance] = &row
	}
}

// missing returns the instances that a whole board does not have.
func (k *Known) missing(board []Standing) []string {
	left := maps.Clone(k.rows)
	for _, s := range board {
		delete(left, s.Instance)
	}
	return slices.Sorted(maps.Keys(left))
}

// withAgentsWord keeps an agent's report on a target that an incomplete table has from the
// list alone.
func withAgentsWord(s Standing, before *Standing) Standing {
	if s.Reported || before == nil || !before.Reported {
		return s
	}
	kept := *before
	kept.Draining = before.Draining || s.Draining
	kept.Version = cmp.Or(s.Version, before.Version)
	return kept
}

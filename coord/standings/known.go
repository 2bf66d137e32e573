package standings

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Load pattern: the control leader changes while callers wait for rare models.
// Without it: hosts treat the new leader's incomplete table as complete, and refuse requests
// for models that targets hold until all agents have reported.
// Rule: rows that are missing from an incomplete table are kept, not deleted.

// Update is the reply to a poll of the leader's table.
type Update struct {
	Changed []Standing
	Loads   []LoadUpdate // of targets whose other fields did not change
	Gone    []string     // instances removed from the table
	Whole   bool         // Changed is the entire table
	Filling bool         // the table is incomplete
}

// Known is an entry host's copy of the target table. It is not safe for concurrent use.
type Known struct {
	rows        map[string]*Standing // by instance
	unconfirmed bool                 // rows may include targets that the leader's table lacks
	wasComplete bool                 // at least one complete table was received
}

// Change is a target that was added, whose Draining changed, or that was removed.
type Change struct {
	Standing *Standing
	Gone     bool
}

// NewKnown returns an empty copy that is incomplete until the first update.
func NewKnown() *Known { return &Known{rows: map[string]*Standing{}} }

// Get returns a target's status, or nil for an unknown instance. It is read-only.
func (k *Known) Get(instance string) *Standing { return k.rows[instance] }

// All returns the status of all targets by instance. The map and its values are read-only.
func (k *Known) All() map[string]*Standing { return k.rows }

// Complete reports whether an instance that is not in the copy does not exist. That holds from
// the first complete table on, also while the next leader's table is incomplete.
func (k *Known) Complete() bool { return k.wasComplete }

// Stale reports whether the entire table must be requested: u, the last update, is from a
// complete table, and the copy may still have rows that this table lacks.
func (k *Known) Stale(u Update) bool { return k.unconfirmed && !u.Filling }

// Take applies an update and returns the changes in order of instance.
func (k *Known) Take(u Update) []Change {
	var changes []Change
	k.wasComplete = k.wasComplete || !u.Filling
	gone := u.Gone
	switch {
	case u.Whole && u.Filling:
		k.unconfirmed = len(k.rows) > 0
	case u.Whole:
		k.unconfirmed = false
		gone = k.absentFrom(u.Changed)
	}
	for _, id := range gone {
		if row := k.rows[id]; row != nil {
			changes = append(changes, Change{row, true})
			delete(k.rows, id)
		}
	}
	for _, s := range u.Changed {
		previous := k.rows[s.Instance]
		if u.Filling {
			s = keepReport(s, previous)
		}
		k.rows[s.Instance] = &s
		if previous == nil || previous.Draining != s.Draining {
			changes = append(changes, Change{&s, false})
		}
	}
	k.applyLoads(u.Loads)
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Standing.Instance, b.Standing.Instance) })
	return changes
}

// applyLoads updates the loads of known targets. It replaces rows instead of changing them,
// because readers hold pointers to them.
func (k *Known) applyLoads(loads []LoadUpdate) {
	for _, l := range loads {
		previous := k.rows[l.Instance]
		if previous == nil {
			continue
		}
		row := *previous
		row.Load, row.Version = l.Load, l.Version
		k.rows[l.Instance] = &row
	}
}

// absentFrom returns the known instances that an entire table lacks, sorted.
func (k *Known) absentFrom(table []Standing) []string {
	absent := maps.Clone(k.rows)
	for _, s := range table {
		delete(absent, s.Instance)
	}
	return slices.Sorted(maps.Keys(absent))
}

// keepReport returns the previous row if it has an agent's report and s, from an incomplete
// table, has only the list's entry. Draining and Version are taken over from s.
func keepReport(s Standing, previous *Standing) Standing {
	if s.Reported || previous == nil || !previous.Reported {
		return s
	}
	kept := *previous
	kept.Draining = previous.Draining || s.Draining
	kept.Version = cmp.Or(s.Version, previous.Version)
	return kept
}

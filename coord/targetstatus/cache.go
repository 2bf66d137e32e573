package targetstatus

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
	Changed    []Status
	Loads      []LoadUpdate // of targets whose other fields did not change
	Removed    []string     // instances removed from the table
	Whole      bool         // Changed is the entire table
	Incomplete bool         // the table is incomplete
}

// TableCache is an entry host's copy of the target table. It is not safe for concurrent use.
type TableCache struct {
	rows        map[string]*Status // by instance
	unconfirmed bool               // rows may include targets that the leader's table lacks
	wasComplete bool               // at least one complete table was received
}

// Change is a target that was added, whose Draining or SoftwareVersion changed, or that was removed.
type Change struct {
	Status  *Status
	Removed bool
}

// NewTableCache returns an empty copy that is incomplete until the first update.
func NewTableCache() *TableCache { return &TableCache{rows: map[string]*Status{}} }

// Get returns a target's status, or nil for an unknown instance. It is read-only.
func (c *TableCache) Get(instance string) *Status { return c.rows[instance] }

// All returns the status of all targets by instance. The map and its values are read-only.
func (c *TableCache) All() map[string]*Status { return c.rows }

// Complete reports whether an instance that is not in the copy does not exist. That holds from
// the first complete table on, also while the next leader's table is incomplete.
func (c *TableCache) Complete() bool { return c.wasComplete }

// NeedsFullSync reports whether the entire table must be requested: u, the last update, is from a
// complete table, and the copy may still have rows that this table lacks.
func (c *TableCache) NeedsFullSync(u Update) bool { return c.unconfirmed && !u.Incomplete }

// Apply applies an update and returns the changes in order of instance.
func (c *TableCache) Apply(u Update) []Change {
	var changes []Change
	c.wasComplete = c.wasComplete || !u.Incomplete
	removed := u.Removed
	switch {
	case u.Whole && u.Incomplete:
		c.unconfirmed = len(c.rows) > 0
	case u.Whole:
		c.unconfirmed = false
		removed = c.absentFrom(u.Changed)
	}
	for _, id := range removed {
		if row := c.rows[id]; row != nil {
			changes = append(changes, Change{row, true})
			delete(c.rows, id)
		}
	}
	for _, s := range u.Changed {
		previous := c.rows[s.Instance]
		if u.Incomplete {
			s = keepReport(s, previous)
		}
		c.rows[s.Instance] = &s
		if previous == nil || previous.Draining != s.Draining || previous.SoftwareVersion != s.SoftwareVersion {
			changes = append(changes, Change{&s, false})
		}
	}
	c.applyLoads(u.Loads)
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Status.Instance, b.Status.Instance) })
	return changes
}

// applyLoads updates the loads of known targets. It replaces rows instead of changing them,
// because readers hold pointers to them.
func (c *TableCache) applyLoads(loads []LoadUpdate) {
	for _, l := range loads {
		previous := c.rows[l.Instance]
		if previous == nil {
			continue
		}
		row := *previous
		row.Load, row.Version = l.Load, l.Version
		c.rows[l.Instance] = &row
	}
}

// absentFrom returns the known instances that an entire table lacks, sorted.
func (c *TableCache) absentFrom(table []Status) []string {
	absent := maps.Clone(c.rows)
	for _, s := range table {
		delete(absent, s.Instance)
	}
	return slices.Sorted(maps.Keys(absent))
}

// keepReport returns the previous row if it has an agent's report and s, from an incomplete
// table, has only the list's entry. Draining, Version and a longer warm-up are taken over
// from s.
func keepReport(s Status, previous *Status) Status {
	if s.Reported || previous == nil || !previous.Reported {
		return s
	}
	kept := *previous
	kept.Draining = previous.Draining || s.Draining
	kept.Version = cmp.Or(s.Version, previous.Version)
	kept.SpeedPercent = cmp.Or(s.SpeedPercent, previous.SpeedPercent)
	kept.WarmUpUntil = later(previous.WarmUpUntil, s.WarmUpUntil)
	return kept
}

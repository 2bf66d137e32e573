package standings

import (
	"slices"
	"time"
)

// Load pattern: the control leader changes while a few models carry most requests.
//
// Without it: the new leader's empty table reports no demand, agents unload the busiest models
// for the next rare one, and callers are refused until they are loaded again.
// Rule: a new table publishes no demand for a second; agents keep the demand that they have.

// demandKnownAfter is the age from which a table publishes demand.
const demandKnownAfter = time.Second

// listWait is how long a table without the list counts as incomplete.
const listWait = 3 * time.Second

// Filling reports whether the table is still syncing: it lacks the list, or the report of an
// agent whose target the list names. The list does not say which models a target holds.
func Filling(t *Table, u *Use, runsModels func(service string) bool, now time.Time) bool {
	age := u.age(now)
	switch {
	case t.listedAt.IsZero():
		return age < listWait
	case age < demandKnownAfter:
		return t.awaitsReports(runsModels)
	}
	return false
}

func (t *Table) awaitsReports(runsModels func(service string) bool) bool {
	for _, s := range t.rows { // any order: one is enough
		if !s.Reported && runsModels(s.Service) {
			return true
		}
	}
	return false
}

// Demand is what the fleet's callers ask of a model, and who can answer.
type Demand struct {
	Model          string
	WorthPerSecond float64
	Copies         int // targets that hold it and do not leave
	Pressed        int // of these, how many have more work than they run at once
}

// Sum returns the demand for each model that is asked for or held, in order of name.
// Known is false while that would be misleading.
func Sum(t *Table, u *Use, now time.Time) (demand []Demand, known bool) {
	if u.age(now) < demandKnownAfter {
		return nil, false
	}
	sums := map[string]*Demand{}
	sum := func(model string) *Demand {
		if sums[model] == nil {
			sums[model] = &Demand{Model: model}
		}
		return sums[model]
	}
	for _, s := range t.All() {
		if s.Draining {
			continue
		}
		for _, m := range s.Models {
			d := sum(m.Name)
			d.Copies++
			if s.Pressed() {
				d.Pressed++
			}
		}
	}
	for _, model := range u.Models(now) {
		sum(model).WorthPerSecond = u.PerSecond(model, now)
	}
	for _, d := range sums { // any order: sorted below
		demand = append(demand, *d)
	}
	slices.SortFunc(demand, byModel)
	return demand, true
}

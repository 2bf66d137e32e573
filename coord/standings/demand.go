package standings

import (
	"slices"
	"time"
)

// Load pattern: the control leader changes while a few models carry most requests.
//
// The next leader's board has heard of no request and of no target. Agents that were told so took the busiest models for unused: they dropped
// their copies for the next rare model that was waited for, and the callers of the
// busy ones were refused for the ten seconds that it takes to load these again.
//
// So a board says nothing of demand until every entry host and every agent has told
// it several times; the agents go on with what they were told before.

// demandKnownAfter is how long a board listens before it speaks of demand: five
// words of each entry host and six of each agent.
const demandKnownAfter = time.Second

// listWait is how long a board may be without the list before what agents tell counts
// as all there is: the list can be out of reach for as long as it likes.
const listWait = 3 * time.Second

// Filling reports whether a board is too new to say that a target, or a model, is not
// there: it has not read the list, or not heard the agents of all targets on it whose
// service runs models. The list alone does not tell what they hold: after a stop of all
// hosts it shows targets without models.
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

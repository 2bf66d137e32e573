package targetstatus

import (
	"slices"
	"time"
)

// Load pattern: the control leader changes while a few models receive most requests.
// Without it: the new leader's empty table reports no demand, agents unload the busiest models
// for the next rare one, and callers are refused until they are loaded again.
// Rule: a new table publishes no demand for a second; agents keep the demand that they have.

// demandWarmUp is the minimum age at which a table publishes demand.
const demandWarmUp = time.Second

// maxListWait limits how long a table counts as incomplete because the list was not read.
const maxListWait = 3 * time.Second

// Incomplete reports whether the table is incomplete after a leader change: the platform's list
// was not read yet, or a listed target of a service that runs models has no agent report. The
// list does not contain the models that a target holds. The table counts as complete after
// maxListWait without a list, or after demandWarmUp with one, even if reports are missing.
func Incomplete(t *Table, u *RateMeter, runsModels func(service string) bool, now time.Time) bool {
	age := u.age(now)
	switch {
	case t.listedAt.IsZero():
		return age < maxListWait
	case age < demandWarmUp:
		return t.lacksReports(runsModels)
	}
	return false
}

func (t *Table) lacksReports(runsModels func(service string) bool) bool {
	for _, s := range t.rows { // any order: one match decides
		if !s.Reported && runsModels(s.Service) {
			return true
		}
	}
	return false
}

// Demand is the fleet-wide request rate of a model and the number of targets that serve it.
type Demand struct {
	Model          string
	ValuePerSecond float64 // requests a second, weighted by priority rank
	Copies         int     // targets that hold it, are reachable and not draining
	Saturated      int     // how many of these are saturated
	Wanted         int     // copies that the leader plans; 0: not planned
}

// SumDemand returns the demand for each model that is requested or held, ordered by name.
// Known is false while the record is younger than demandWarmUp and would understate the demand.
func SumDemand(t *Table, u *RateMeter, now time.Time) (demand []Demand, known bool) {
	if u.age(now) < demandWarmUp {
		return nil, false
	}
	sums := map[string]*Demand{}
	entry := func(model string) *Demand {
		if sums[model] == nil {
			sums[model] = &Demand{Model: model}
		}
		return sums[model]
	}
	for _, s := range t.All() {
		if s.Draining || s.Unreachable {
			continue
		}
		for _, m := range s.Models {
			d := entry(m.Name)
			d.Copies++
			if s.Saturated() {
				d.Saturated++
			}
		}
	}
	for _, model := range u.Models(now) {
		entry(model).ValuePerSecond = u.PerSecond(model, now)
	}
	for _, d := range sums { // any order: sorted below
		demand = append(demand, *d)
	}
	slices.SortFunc(demand, byModel)
	return demand, true
}

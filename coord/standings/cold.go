package standings

import "time"

// Cold returns the model of which no target has a copy that is asked for most, of some
// models in a given order; the first of several alike. Skip names models that are on
// their way.
func Cold(t *Table, u *Use, models []string, skip func(model string) bool, now time.Time) (model string, ok bool) {
	near := t.near()
	most := -1.0
	for _, m := range models {
		if near[m] || skip(m) {
			continue
		}
		if asked := u.PerSecond(m, now); asked > most {
			model, most, ok = m, asked, true
		}
	}
	return model, ok
}

// Settled reports whether the table surely knows all that targets which run models hold:
// each that the list shows has been heard of, and none is heard of that the list lacks. A
// fleet that starts hears of its targets one after the other.
func (t *Table) Settled(runsModels func(service string) bool) bool {
	for _, s := range t.rows { // any order: one is enough
		if _, listed := t.listed[s.Instance]; runsModels(s.Service) && (!listed || !s.Reported) {
			return false
		}
	}
	return len(t.rows) > 0
}

// near returns the models that a target holds or has a copy of.
func (t *Table) near() map[string]bool {
	out := map[string]bool{}
	for _, s := range t.rows { // any order: a set
		for _, m := range s.Models {
			out[m.Name] = true
		}
		for _, m := range s.AtHand {
			out[m] = true
		}
	}
	return out
}

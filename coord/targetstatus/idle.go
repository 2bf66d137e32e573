package targetstatus

import "slices"

// IdleWithCopy returns how many targets could load a model from their own copy at once: they have it
// in memory or on disk, are reachable, not saturated or draining, and neither hold it nor load a model.
func (t *Table) IdleWithCopy(model string) int {
	n := 0
	for _, s := range t.rows { // any order: only a count
		free := s.Reported && !s.Draining && !s.Unreachable && s.Loading == "" && !s.Saturated()
		if free && slices.Contains(s.CachedModels, model) && !s.holds(model) {
			n++
		}
	}
	return n
}

// WithCopy returns how many targets could load a model from their own copy, also after the load or the requests
// under way there: they have it in memory or on disk, are reachable and not draining, and do not hold it.
func (t *Table) WithCopy(model string) int {
	n := 0
	for _, s := range t.rows { // any order: only a count
		if s.Reported && !s.Draining && !s.Unreachable && slices.Contains(s.CachedModels, model) && !s.holds(model) {
			n++
		}
	}
	return n
}

func (s *Status) holds(model string) bool {
	return slices.ContainsFunc(s.Models, func(h HeldModel) bool { return h.Name == model })
}

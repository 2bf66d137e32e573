package standings

import "slices"

// Near returns how many targets could load a model from their own copy at once: they have it
// in memory or on disk, are not saturated or draining, and neither hold it nor load a model.
func (t *Table) Near(model string) int {
	n := 0
	for _, s := range t.rows { // any order: only a count
		free := s.Reported && !s.Draining && s.Loading == "" && !s.Pressed()
		if free && slices.Contains(s.AtHand, model) && !s.holds(model) {
			n++
		}
	}
	return n
}

func (s *Standing) holds(model string) bool {
	return slices.ContainsFunc(s.Models, func(h Held) bool { return h.Name == model })
}

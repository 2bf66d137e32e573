package standings

import "slices"

// Near returns how many targets below capacity have a copy of a model in memory or on disk, and
// neither hold the model nor load anything.
func (t *Table) Near(model string) int {
	n := 0
	for _, s := range t.rows { // any order: they are counted
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

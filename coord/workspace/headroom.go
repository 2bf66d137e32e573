package workspace

// maxHeadroomEntries bounds a history. Beyond it, the entries of the older half are merged
// in pairs, since precision matters least for the oldest ones.
const maxHeadroomEntries = 64

// headroomHistory returns the minimum headroom since a given step. A step is a counter and
// not a time, so that two updates at the same instant stay ordered. Only entries smaller
// than all later ones are kept, so the values increase with the step.
type headroomHistory struct {
	entries []headroomEntry
}

type headroomEntry struct {
	step     int64
	headroom int64
}

// add records the headroom at a step, which must not be before that of the newest entry.
func (h *headroomHistory) add(step int64, headroom int64) {
	for n := len(h.entries); n > 0 && h.entries[n-1].headroom >= headroom; n-- {
		h.entries = h.entries[:n-1]
	}
	h.entries = append(h.entries, headroomEntry{step, headroom})
	if len(h.entries) > maxHeadroomEntries {
		h.merge()
	}
}

// merge replaces each pair of older entries by one with the smaller headroom and the later
// step. Queries then return at most the true value, so a refund is never too large.
func (h *headroomHistory) merge() {
	kept := h.entries[:0]
	old := len(h.entries) / 2
	for i := 0; i+1 < old; i += 2 {
		kept = append(kept, headroomEntry{h.entries[i+1].step, h.entries[i].headroom})
	}
	kept = append(kept, h.entries[old-old%2:]...)
	h.entries = kept
}

// minSince returns the minimum headroom since a step.
func (h *headroomHistory) minSince(since int64) int64 {
	for _, e := range h.entries {
		if e.step >= since {
			return e.headroom
		}
	}
	return 0
}

// lowerSince subtracts amount from the headroom at every step from since on.
func (h *headroomHistory) lowerSince(since int64, amount int64) {
	first := 0
	for first < len(h.entries) && h.entries[first].step < since {
		first++
	}
	if first == len(h.entries) {
		return
	}
	for i := first; i < len(h.entries); i++ {
		h.entries[i].headroom -= amount
	}
	keep := first
	for keep > 0 && h.entries[keep-1].headroom >= h.entries[first].headroom {
		keep--
	}
	h.entries = append(h.entries[:keep], h.entries[first:]...)
}

// raise adds amount to the headroom at every step.
func (h *headroomHistory) raise(amount int64) {
	for i := range h.entries {
		h.entries[i].headroom += amount
	}
}

package workspace

// maxRoomEntries bounds a history. Beyond it the two entries whose merging loses
// least precision by age, the oldest ones, become one.
const maxRoomEntries = 64

// roomHistory answers "what was the least room since a step". Steps count what was
// booked, so that two bookings at one instant keep their order. It keeps only the
// entries that are smaller than every later one, so values grow with the step.
type roomHistory struct {
	entries []roomEntry
}

type roomEntry struct {
	at   int64
	room int64
}

// note adds the room at a step that is not before the newest entry.
func (h *roomHistory) note(at int64, room int64) {
	for n := len(h.entries); n > 0 && h.entries[n-1].room >= room; n-- {
		h.entries = h.entries[:n-1]
	}
	h.entries = append(h.entries, roomEntry{at, room})
	if len(h.entries) > maxRoomEntries {
		h.merge()
	}
}

// merge joins each older pair into one entry with the lesser room and the later
// step: a query then gets at most the true value, so a refund is never too large.
func (h *roomHistory) merge() {
	kept := h.entries[:0]
	old := len(h.entries) / 2
	for i := 0; i+1 < old; i += 2 {
		kept = append(kept, roomEntry{h.entries[i+1].at, h.entries[i].room})
	}
	kept = append(kept, h.entries[old-old%2:]...)
	h.entries = kept
}

// least returns the least room since a step.
func (h *roomHistory) least(since int64) int64 {
	for _, e := range h.entries {
		if e.at >= since {
			return e.room
		}
	}
	return 0
}

// lower takes amount from the room at every step since.
func (h *roomHistory) lower(since int64, amount int64) {
	first := 0
	for first < len(h.entries) && h.entries[first].at < since {
		first++
	}
	if first == len(h.entries) {
		return
	}
	for i := first; i < len(h.entries); i++ {
		h.entries[i].room -= amount
	}
	keep := first
	for keep > 0 && h.entries[keep-1].room >= h.entries[first].room {
		keep--
	}
	h.entries = append(h.entries[:keep], h.entries[first:]...)
}

// raise adds amount to the room at every step.
func (h *roomHistory) raise(amount int64) {
	for i := range h.entries {
		h.entries[i].room += amount
	}
}

package state

import (
	"slices"

	"cowsliptiller/coord/coordpb"
)

// past returns the incarnations before this one on a host, newest last; the
// incarnation itself is among them only if a later one superseded it.
func (h *hosts) past(id, incarnation string) []string {
	old := h.rows[id]
	if old == nil {
		old = h.forgottenRow(id)
	}
	if old == nil {
		return nil
	}
	past := slices.Clone(old.PastIncarnations)
	if old.Incarnation != incarnation {
		past = append(past, old.Incarnation)
	}
	return past[max(0, len(past)-MaxPastIncarnations):]
}

func (h *hosts) forgottenRow(id string) *coordpb.Host {
	for _, row := range h.forgotten {
		if HostID(row.Host, row.Role) == id {
			return row
		}
	}
	return nil
}

// remember replaces what is kept of a forgotten host; nil keeps nothing.
func (h *hosts) remember(id string, row *coordpb.Host) {
	kept := make([]*coordpb.Host, 0, len(h.forgotten)+1)
	for _, other := range h.forgotten {
		if HostID(other.Host, other.Role) != id {
			kept = append(kept, other)
		}
	}
	if row != nil {
		kept = append(kept, row)
	}
	h.forgotten = kept[max(0, len(kept)-MaxForgotten):]
}

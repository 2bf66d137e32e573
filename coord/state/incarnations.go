package state

import (
	"slices"

	"cowsliptiller/coord/coordpb"
)

// pastIncarnations returns the incarnations of a host row before the given one,
// newest last. The given incarnation is included only if a later one superseded it.
func (h *hosts) pastIncarnations(id, incarnation string) []string {
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

// setForgotten replaces the row kept for a forgotten host; nil removes it. It keeps
// the newest MaxForgottenHosts rows.
func (h *hosts) setForgotten(id string, row *coordpb.Host) {
	kept := make([]*coordpb.Host, 0, len(h.forgotten)+1)
	for _, other := range h.forgotten {
		if HostID(other.Host, other.Role) != id {
			kept = append(kept, other)
		}
	}
	if row != nil {
		kept = append(kept, row)
	}
	h.forgotten = kept[max(0, len(kept)-MaxForgottenHosts):]
}

package request

import "maps"

// Copy returns a copy that shares nothing with o.
func (o *OutputTimes) Copy() *OutputTimes { return &OutputTimes{means: maps.Clone(o.means)} }

// Copy returns a copy that shares nothing with h.
func (h *RankHistory) Copy() *RankHistory {
	c := *h
	c.offered.rows, c.sent.rows = maps.Clone(h.offered.rows), maps.Clone(h.sent.rows)
	c.waiting = maps.Clone(h.waiting)
	return &c
}

package view

import "time"

// lease ends at one moment, which is told by two clocks.
//
// The monotonic clock decides, since the wall clock can be set back. But it may stand
// still while a virtual machine is suspended or moved: the process wakes up, finds
// its lease running, and serves a key that was withdrawn hours ago. The wall clock
// has gone on meanwhile. A wall clock that is set forward ends the lease early, for
// no longer than until the next answer.
type lease struct {
	until time.Time // with a monotonic reading
	wall  time.Time // the same moment without
}

// extend moves the end to a later moment; an earlier one changes nothing.
func (l *lease) extend(until time.Time) {
	if until.After(l.until) {
		l.until, l.wall = until, until.Round(0)
	}
}

// holds reports whether the lease runs by both clocks.
func (l *lease) holds(now, wall time.Time) bool {
	return now.Before(l.until) && wall.Before(l.wall)
}

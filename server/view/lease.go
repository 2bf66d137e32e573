package view

import "time"

// lease is valid until its end by both the monotonic and the wall clock.
//
// The monotonic clock is needed because the wall clock can be set back. The wall clock is
// needed because the monotonic clock may stop while a virtual machine is suspended or
// migrated: after the machine resumes, the lease would still be valid and the process
// would accept a key that was withdrawn hours ago. A wall clock that is set forward ends
// the lease early, but only until the next response.
type lease struct {
	end     time.Time // with a monotonic clock reading
	wallEnd time.Time // the same time without a monotonic reading
}

// extend moves the end of the lease to until. It does nothing if until is not later than
// the current end.
func (l *lease) extend(until time.Time) {
	if until.After(l.end) {
		l.end, l.wallEnd = until, until.Round(0)
	}
}

// valid reports whether the lease has not expired by either clock.
func (l *lease) valid(now, wall time.Time) bool {
	return now.Before(l.end) && wall.Before(l.wallEnd)
}

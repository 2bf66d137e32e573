package request

import "time"

// Load pattern: all processes of the fleet stop at once and start again, or a host wakes
// from a pause, while callers wait. For a second or two no host knows which deployment is
// in force, or which targets there are.
//
// Without this file each host refuses at once whatever comes meanwhile. Callers come back
// once or twice, sooner than the fleet, and are refused for good, though most had many
// seconds of patience left. Waiting costs them nothing: they could not be served sooner.
//
// The rule: they wait as long as control has been silent for less than a start of the
// fleet takes, and for a part of their time. A host that is cut off has not heard of
// control for longer, and refuses at once: other hosts can do better.

const (
	// usualOutage is how long control is silent where it comes back by itself: an
	// election timeout in which a member that has started may not vote, the election,
	// and the start of the slowest members before it, twice over.
	usualOutage = 2500 * time.Millisecond
	// outageShare of its time may pass before a call goes to a target: the rest is for
	// its model and its answer.
	outageShare = 0.7
)

// WaitOut returns how much longer a call may wait for what this host does not know. The
// host has been without it for outage; the call has spent a part of the time that its
// caller waits in all. Zero: no longer.
func WaitOut(outage, spent, limit time.Duration) time.Duration {
	return max(0, min(usualOutage-outage, time.Duration(outageShare*float64(limit))-spent))
}

package request

import "time"

// Load pattern: the whole fleet restarts at once, or a host resumes from a pause; for one or
// two seconds no host has the current deployment or the list of targets.
// Without it: hosts refuse all calls, and callers run out of retries before the fleet is back.
// Rule: calls wait while control has been unreachable for less than a fleet start takes, and
// for a part of their timeout at most.

// Most callers have many seconds of their timeout left, and could not be served sooner
// anyway. A host that is partitioned from control has not heard from it for longer; it
// refuses at once, because other hosts can serve its callers.
const (
	// maxOutageWait is how long control is unreachable if it recovers by itself: twice the
	// sum of the start of the slowest members, an election timeout in which a member that
	// has just started may not vote, and the election.
	maxOutageWait = 2500 * time.Millisecond
	// outageWaitShare is the share of its timeout that a call may spend before it goes to a
	// target. The rest is for loading its model and for its answer.
	outageWaitShare = 0.7
)

// OutageWait returns how much longer a call may wait for state that this host is missing, or
// zero if it may not. Outage is how long the host has been missing it, spent the time since
// the call arrived, and limit the time that its caller waits in all.
func OutageWait(outage, spent, limit time.Duration) time.Duration {
	return max(0, min(maxOutageWait-outage, time.Duration(outageWaitShare*float64(limit))-spent))
}

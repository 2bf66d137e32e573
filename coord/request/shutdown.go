package request

import "time"

// Load pattern: entry hosts are restarted in turn while callers wait for rarely used models or send long bodies.
// Without it: a host that shuts down ends all waits; callers use up a retry to queue last at
// another host, often the one restarted next. In one run of rolling restarts 17 of 40 calls
// for rare models were refused like this, with most of their timeout left. Or it passes on requests whose answers it
// cuts off at its end.
// Rule: at shutdown, calls may wait and be sent as long as their answers can still end before the host.

const (
	// reservedRuns is the number of mean run times that are reserved for an answer that
	// begins when a wait ends. Few streams take longer.
	reservedRuns = 3
	// minShutdownReserve is the least time that is reserved for an answer: it covers the
	// request to the target and the first token.
	minShutdownReserve = 500 * time.Millisecond
)

// ShutdownReserve returns the time before the end of a host that is reserved for an answer. Run is the mean time of a
// run, or 0 if it is not known; the answer may then take limit, or is expected to be short if limit is 0.
func ShutdownReserve(run, limit time.Duration) time.Duration {
	if run == 0 {
		return max(minShutdownReserve, limit)
	}
	return max(minShutdownReserve, reservedRuns*run)
}

// ShutdownWait returns how long calls may wait for their model at a host that is shutting
// down and must have completed all answers within left. Run is the mean time of a run, or 0
// if it is not known.
func ShutdownWait(left, run time.Duration) time.Duration {
	return max(0, left-ShutdownReserve(run, 0))
}

// ShutdownAccept returns for how long a host that is shutting down accepts requests: until callers are routed to others,
// which takes look, but only while a run can be completed within left. Run is its mean time, or 0 if it is not known;
// at most half of left is reserved for it.
func ShutdownAccept(look, left, run time.Duration) time.Duration {
	reserve := max(minShutdownReserve, min(run, left/2))
	return min(look, max(0, left-reserve))
}

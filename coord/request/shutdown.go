package request

import "time"

// Load pattern: entry hosts are restarted in turn while callers wait for rarely used models.
// Without it: a host that shuts down ends all waits; callers use up a retry to queue last at
// another host, often the one restarted next. In one run of rolling restarts 17 of 40 calls
// for rare models were refused like this, with most of their timeout left.
// Rule: at shutdown, calls may wait as long as their answers can still end before the host.

const (
	// reservedRuns is the number of mean run times that are reserved for an answer that
	// begins when a wait ends. Few streams take longer.
	reservedRuns = 3
	// minShutdownReserve is the least time that is reserved for an answer: it covers the
	// request to the target and the first token.
	minShutdownReserve = 500 * time.Millisecond
)

// ShutdownWait returns how long calls may wait for their model at a host that is shutting
// down and must have completed all answers within left. Run is the mean time of a run, or 0
// if it is not known.
func ShutdownWait(left, run time.Duration) time.Duration {
	return max(0, left-max(minShutdownReserve, reservedRuns*run))
}

package workspace

import "time"

// Load pattern: a workspace over its rate calls plain services, and models at 10 to 100 times the tokens.
// Without it: small calls queue behind the large ones and are refused because of them.
// Rule: a small call bypasses the queue, one at a time from each host, until such calls take a
// third of the rate. Beyond that they are queued like all others, so that a flood of small
// calls does not starve the large ones.

const (
	// smallCallDivisor defines a small call: at most burst/smallCallDivisor tokens.
	smallCallDivisor = 128
	// bypassRateDivisor limits the calls that bypass the queue to rate/bypassRateDivisor.
	bypassRateDivisor = 3
)

// bypassBudget is the token bucket of the calls that bypass the queue, in micro-tokens.
type bypassBudget struct {
	free       int64
	lastRefill time.Time
}

// has refills the budget and reports whether it covers the tokens.
func (b *bypassBudget) has(tokens int64, l Limit, now time.Time) bool {
	if elapsed := min(now.Sub(b.lastRefill), maxRefill); elapsed > 0 {
		b.free = min(b.free+l.Rate/bypassRateDivisor*elapsed.Microseconds(), l.Burst/queueWindowDivisor*microPerToken)
		b.lastRefill = now
	}
	return b.free >= tokens*microPerToken
}

// mayBypass reports whether a host's first queued call may bypass the queue.
func (b *bucket) mayBypass(e queueEntry) bool {
	waits := e.need > 0 && len(b.queue.entries) > 0
	return waits && b.limit.isSmall(e.need) && b.bypass.has(e.need, b.limit, e.seen)
}

// grantBypass grants a small call its tokens. If too few are free, the call waits until
// enough have accrued.
func (b *bucket) grantBypass(g *Grant, e queueEntry) {
	if e.need > b.freeTokens() {
		g.RetryAfter = b.limit.FillTime(e.need - b.freeTokens())
		return
	}
	g.Tokens = e.need
	b.bypass.free -= e.need * microPerToken
	b.queue.noteBypass(e)
}

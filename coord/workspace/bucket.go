package workspace

import "time"

// Load pattern: calls arrive at many hosts, in bursts up to the limit, and reserve more than they use.
// Without it: hosts spend old grants and a refilled bucket together, twice the burst at once;
// a refund of tokens that the bucket had no headroom for since the charge has the same effect.
// Rule: a refill stops when free plus granted tokens reach the burst; a refund is capped at the
// minimum headroom since the charge, which gives the level that a smaller charge would have left.

// maxRefill bounds one refill so that rate x microseconds cannot overflow.
const maxRefill = time.Hour

// bucket is the token bucket of one workspace, in micro-tokens.
type bucket struct {
	limit      Limit
	free       int64 // not granted to any host
	granted    int64 // granted to hosts and not known to be spent
	lastRefill time.Time
	step       int64 // counts the applied reports; orders the headroom history
	headroom   headroomHistory
	queue      hostQueue    // hosts that wait for tokens
	bypass     bypassBudget // for small calls, which need not wait
	meanCall   int64        // moving average of the size of queued calls, in whole tokens
}

func newBucket(l Limit, free int64, now time.Time) *bucket {
	b := &bucket{limit: l, free: free * microPerToken, lastRefill: now}
	b.recordHeadroom()
	return b
}

func (b *bucket) recordHeadroom() {
	b.headroom.add(b.step, b.currentHeadroom())
}

func (b *bucket) currentHeadroom() int64 {
	return b.limit.Burst*microPerToken - b.free - b.granted
}

// refill adds the tokens that accrued since the last refill.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	micros := min(elapsed, maxRefill).Microseconds()
	b.lastRefill = now.Add(-(elapsed % time.Microsecond))
	b.free += max(0, min(b.limit.Rate*micros, b.currentHeadroom()))
	b.recordHeadroom()
}

// freeTokens returns the free tokens, rounded down to whole ones.
func (b *bucket) freeTokens() int64 {
	return b.free / microPerToken
}

// grant moves tokens from free to granted.
func (b *bucket) grant(tokens int64) {
	b.free -= tokens * microPerToken
	b.granted += tokens * microPerToken
}

// takeBack moves unspent tokens from granted back to free.
func (b *bucket) takeBack(tokens int64) {
	b.free += tokens * microPerToken
	b.granted -= tokens * microPerToken
}

// spend removes granted tokens that were spent or may have been.
func (b *bucket) spend(tokens int64) {
	b.granted -= tokens * microPerToken
}

// nextStep begins a new step, after all updates so far, and returns it.
func (b *bucket) nextStep() int64 {
	b.step++
	return b.step
}

// refund returns unused tokens of a charge that was applied just before the step since.
func (b *bucket) refund(tokens, since int64) {
	credit := max(0, min(tokens*microPerToken, b.headroom.minSince(since), b.currentHeadroom()))
	b.free += credit
	b.headroom.lowerSince(since, credit)
	b.recordHeadroom()
}

// configure changes the limit. Granted tokens stay granted.
func (b *bucket) configure(l Limit, now time.Time) {
	b.refill(now)
	b.headroom.raise((l.Burst - b.limit.Burst) * microPerToken)
	b.limit = l
	b.free = max(0, min(b.free, l.Burst*microPerToken-b.granted))
	b.recordHeadroom()
}

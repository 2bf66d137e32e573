package workspace

import "time"

// Load pattern: a workspace whose calls come in at many entry hosts, some of them
// in bursts up to its whole allowance, and which reserve far more than they use.
//
// Without this file's rules: a plain bucket refills while granted tokens lie unspent
// at the hosts, and those hosts can then spend the old grants and a full bucket
// together, twice the burst in one moment. A plain refund adds tokens that the bucket
// had no room for when they were charged, with the same effect.
//
// The rules: refill stops when what is free and what is granted out reach the burst
// together, and a refund counts for at most the least room that the bucket has had
// since the charge: that is the level it would have now had the charge been smaller.

// maxRefill bounds one refill so that rate x microseconds cannot overflow.
const maxRefill = time.Hour

// bucket is the allowance of one workspace, in micro-tokens.
type bucket struct {
	limit     Limit
	free      int64 // not granted
	out       int64 // granted and not known to be spent
	filled    time.Time
	step      int64 // counts bookings; orders the history of room
	room      roomHistory
	line      line     // who waits for it
	small     passLane // for those that need not
	usualCall int64    // mean size of the calls that wait, in tokens
}

func newBucket(l Limit, free int64, now time.Time) *bucket {
	b := &bucket{limit: l, free: free * microPerToken, filled: now}
	b.note()
	return b
}

func (b *bucket) note() {
	b.room.note(b.step, b.roomNow())
}

func (b *bucket) roomNow() int64 {
	return b.limit.Burst*microPerToken - b.free - b.out
}

// refill adds what has flowed in since the last call.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	micros := min(elapsed, maxRefill).Microseconds()
	b.filled = now.Add(-(elapsed % time.Microsecond))
	b.free += max(0, min(b.limit.Rate*micros, b.roomNow()))
	b.note()
}

// tokens returns the whole tokens that are free.
func (b *bucket) tokens() int64 {
	return b.free / microPerToken
}

// grant moves tokens from free to granted.
func (b *bucket) grant(tokens int64) {
	b.free -= tokens * microPerToken
	b.out += tokens * microPerToken
}

// takeBack moves tokens that were granted and not spent back to free.
func (b *bucket) takeBack(tokens int64) {
	b.free += tokens * microPerToken
	b.out -= tokens * microPerToken
}

// spend notes that granted tokens are spent, or may be.
func (b *bucket) spend(tokens int64) {
	b.out -= tokens * microPerToken
}

// mark ends a step and returns the one that follows what was booked so far.
func (b *bucket) mark() int64 {
	b.step++
	return b.step
}

// refund gives back tokens that were spent just before the step since and not used.
func (b *bucket) refund(tokens, since int64) {
	credit := max(0, min(tokens*microPerToken, b.room.least(since), b.roomNow()))
	b.free += credit
	b.room.lower(since, credit)
	b.note()
}

// configure changes the limit. What was granted stays granted.
func (b *bucket) configure(l Limit, now time.Time) {
	b.refill(now)
	b.room.raise((l.Burst - b.limit.Burst) * microPerToken)
	b.limit = l
	b.free = max(0, min(b.free, l.Burst*microPerToken-b.out))
	b.note()
}

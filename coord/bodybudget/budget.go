package bodybudget

import (
	"slices"
	"time"
)

// Load pattern: many clients send large bodies at once, whole, slowly or without their end.
// Without it: the process exceeds its memory and ends, or stalled bodies refuse all others until their
// deadlines.
// Rule: bound the bytes held. When they are used up, reject the stalled body that holds the most, or else
// the largest and newest one of the workspace that holds the most. Large bodies leave room for small ones.

// Shares of a process's memory and of the budget.
const (
	// memoryDivisor leaves the rest of the memory for the garbage of growing buffers, for headers and
	// for what the process holds without callers.
	memoryDivisor = 5
	// largeNumerator and largeDivisor are the share of the budget for the bytes beyond the first
	// SmallBytes of each body.
	largeNumerator, largeDivisor = 3, 4
)

const (
	// SmallBytes of each body are held in room that larger bodies cannot take.
	SmallBytes = 64 << 10
	// AdvanceBytes must arrive within StallTime, or a body counts as stalled. A stalled body is only
	// rejected for lack of memory or of connections.
	AdvanceBytes = 64 << 10
	// StallTime is also when a rejected caller may return: the bodies that stalled meanwhile give way.
	StallTime = time.Second
)

// Limits are the limits of a Budget, in bytes.
type Limits struct {
	Bytes int64 // of all bodies
	Large int64 // of the parts beyond SmallBytes of all bodies; at most Bytes
}

// LimitsFor returns the limits of a process with that much memory, in bytes.
func LimitsFor(memory int64) Limits {
	total := memory / memoryDivisor
	return Limits{Bytes: total, Large: total / largeDivisor * largeNumerator}
}

// Body is one request body.
type Body struct {
	workspace string
	length    int64 // announced; -1: unknown
	held      int64
	begun     time.Time
	advanced  time.Time // when AdvanceBytes more had arrived
	rejected  bool      // it gave way to others, or found no room
}

// Budget is the memory for request bodies of one process. It is not safe for concurrent use.
type Budget struct {
	limits      Limits
	held, large int64
	unfinished  map[*Body]struct{}
	workspaces  map[string]int64 // bytes held
}

// New returns a Budget without bodies.
func New(l Limits) *Budget {
	return &Budget{limits: l, unfinished: map[*Body]struct{}{}, workspaces: map[string]int64{}}
}

// Begin adds a body that holds nothing yet. workspace is empty for requests without a key; length is the
// announced one in bytes, -1 if it is unknown.
func (b *Budget) Begin(workspace string, length int64, now time.Time) *Body {
	body := &Body{workspace: workspace, length: length, begun: now, advanced: now}
	b.unfinished[body] = struct{}{}
	return body
}

// Advance records that AdvanceBytes more of a body have arrived.
func (b *Budget) Advance(body *Body, now time.Time) { body.advanced = now }

// Grow raises what a body holds to size bytes. It returns the bodies that were rejected to make room; body
// itself is among them if others take precedence, and always if it was rejected before.
func (b *Budget) Grow(body *Body, size int64, now time.Time) (rejections []*Body) {
	if body.rejected {
		return []*Body{body}
	}
	b.hold(body, size)
	for !body.rejected && b.exceeded() {
		v := b.victim(body, now)
		b.reject(v)
		rejections = append(rejections, v)
	}
	return rejections
}

// Finish records that a body is whole. It returns false if it was rejected.
func (b *Budget) Finish(body *Body) bool {
	if body.rejected {
		return false
	}
	delete(b.unfinished, body)
	return true
}

// Release removes a body whose request has ended.
func (b *Budget) Release(body *Body) {
	delete(b.unfinished, body)
	b.hold(body, 0)
}

// ShedStalled rejects at most n bodies, those that have been stalled for longest, and returns them.
// Connections that send a few bytes of a body use up the process's descriptors before its memory.
func (b *Budget) ShedStalled(n int, now time.Time) []*Body {
	var stalled []*Body
	for body := range b.unfinished {
		if body.stalled(now) {
			stalled = append(stalled, body)
		}
	}
	slices.SortFunc(stalled, func(x, y *Body) int { return x.advanced.Compare(y.advanced) })
	stalled = stalled[:min(n, len(stalled))]
	for _, body := range stalled {
		b.reject(body)
	}
	return stalled
}

// Held returns the bytes that all bodies hold.
func (b *Budget) Held() int64 { return b.held }

func (b *Budget) reject(body *Body) {
	delete(b.unfinished, body)
	b.hold(body, 0)
	body.rejected = true
}

func (b *Budget) hold(body *Body, size int64) {
	b.held += size - body.held
	b.large += largePart(size) - largePart(body.held)
	b.workspaces[body.workspace] += size - body.held
	body.held = size
	if b.workspaces[body.workspace] == 0 {
		delete(b.workspaces, body.workspace)
	}
}

func largePart(size int64) int64 { return max(0, size-SmallBytes) }

func (b *Budget) exceeded() bool { return b.held > b.limits.Bytes || b.large > b.limits.Large }

// victim returns the body to reject for a body that has grown: itself if no other one gives way.
func (b *Budget) victim(grown *Body, now time.Time) *Body {
	best := grown
	for body := range b.unfinished {
		if body != grown && b.helps(body) && b.yieldsBefore(body, best, grown, now) {
			best = body
		}
	}
	return best
}

// helps reports whether the rejection of a body frees what is used up.
func (b *Budget) helps(body *Body) bool {
	if b.held > b.limits.Bytes {
		return body.held > 0
	}
	return body.held > SmallBytes
}

// yieldsBefore reports whether x is to be rejected before y. grown, for which one of them is rejected, has
// just received bytes.
func (b *Budget) yieldsBefore(x, y, grown *Body, now time.Time) bool {
	stalledX, stalledY := x.stalled(now), y != grown && y.stalled(now)
	if stalledX != stalledY {
		return stalledX
	}
	if stalledX {
		return x.held > y.held
	}
	if shareX, shareY := b.workspaces[x.workspace], b.workspaces[y.workspace]; shareX != shareY {
		return shareX > shareY
	}
	if sizeX, sizeY := x.expectedSize(), y.expectedSize(); sizeX != sizeY {
		return sizeX > sizeY
	}
	// Rejecting the newest lets the others end; rejecting the one that holds the most would let none.
	return x.begun.After(y.begun)
}

func (b *Body) stalled(now time.Time) bool { return now.Sub(b.advanced) >= StallTime }

// unknownSize is the expected size of a large body whose length is unknown.
const unknownSize = 1 << 62

// expectedSize is the size that a body is expected to reach.
func (b *Body) expectedSize() int64 {
	switch {
	case b.length >= 0:
		return b.length
	case b.held <= SmallBytes:
		return SmallBytes
	}
	return unknownSize
}

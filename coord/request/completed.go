package request

import "time"

// Load pattern: many callers send equal requests, and a bad request crashes the targets that run
// them; popular content is in every crash.
// Without it: the popular request collects the same strikes as the bad one and is refused.
// Rule: a request whose content a target has run to its end lately gets no strike.

const (
	// completedGeneration is how long completed requests are collected in one generation. They are
	// remembered for one to two of these.
	completedGeneration = time.Minute
	// maxCompleted limits the requests of a generation.
	maxCompleted = 1 << 14
)

// Completed remembers which requests targets have run to their end lately, by a hash of their
// content. It is not safe for concurrent use.
type Completed struct {
	newest, older map[uint64]struct{}
	since         time.Time // when newest was begun
}

// NewCompleted returns an empty memory.
func NewCompleted() *Completed {
	return &Completed{newest: map[uint64]struct{}{}}
}

// Record records that a target has run a request to its end.
func (c *Completed) Record(hash uint64, now time.Time) {
	c.rotate(now)
	if len(c.newest) < maxCompleted {
		c.newest[hash] = struct{}{}
	}
}

// Has reports whether a target has run a request to its end lately.
func (c *Completed) Has(hash uint64, now time.Time) bool {
	c.rotate(now)
	_, newest := c.newest[hash]
	_, older := c.older[hash]
	return newest || older
}

// rotate begins a new generation when the newest one is over.
func (c *Completed) rotate(now time.Time) {
	age := now.Sub(c.since)
	if age < completedGeneration {
		return
	}
	c.older = c.newest
	if age >= 2*completedGeneration {
		c.older = nil
	}
	c.newest, c.since = map[uint64]struct{}{}, now
}

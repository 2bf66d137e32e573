package workspace

import "time"

// Load pattern: a workspace that is over its rate calls plain services beside models. A
// call to a model takes ten or a hundred times the tokens.
//
// Without it: small calls queue behind the large ones and are refused for them.
// Rule: a small call bypasses the queue, one at a time from each host, until such calls take a
// third of the rate. Beyond that they are queued like all others, so that a flood of them does
// not starve the large ones.

const (
	// smallShare: a call of at most the burst divided by this is small.
	smallShare = 128
	// passShare: small calls that bypass the queue take at most this part of the rate.
	passShare = 3
)

// passLane is what small calls may take before the line, in micro-tokens.
type passLane struct {
	free   int64
	filled time.Time
}

// has reports whether small calls may still take so many tokens.
func (p *passLane) has(tokens int64, l Limit, now time.Time) bool {
	if elapsed := min(now.Sub(p.filled), maxRefill); elapsed > 0 {
		p.free = min(p.free+l.Rate/passShare*elapsed.Microseconds(), l.Burst/lineShare*microPerToken)
		p.filled = now
	}
	return p.free >= tokens*microPerToken
}

// passes reports whether a host's first waiting call goes before the line.
func (b *bucket) passes(p place) bool {
	waits := p.need > 0 && len(b.line.places) > 0
	return waits && b.limit.small(p.need) && b.small.has(p.need, b.limit, p.seen)
}

// pass grants a small call its tokens, or lets it wait for the next ones that flow in.
func (b *bucket) pass(g *Grant, p place) {
	if p.need > b.tokens() {
		g.RetryAfter = b.limit.After(p.need - b.tokens())
		return
	}
	g.Tokens = p.need
	b.small.free -= p.need * microPerToken
	b.line.passed(p)
}

package workspace

import "time"

// Load pattern: a workspace that is over its rate calls plain services beside models. A
// call to a model takes ten or a hundred times the tokens.
//
// Without this file, the small calls stand in line behind the large ones: of 1,634 orders
// that cost next to nothing, 58 were refused because their workspace asked for too many
// summaries (without a line 2 were).
//
// The rule: a small call goes before the line, one at a time from each host, until such
// calls take a third of the rate. Beyond that they stand in line like all others: a flood
// of them would otherwise starve the large ones (1 in 100 of those was served beside 17 of
// the small; with the rule 7 beside 14, TestWorkspace).

const (
	// smallShare: a call of at most the burst divided by this is small. It holds up the
	// line for 8 ms at most, where the burst is one second's rate.
	smallShare = 128
	// passShare: small calls take at most this part of the rate before the line, so that
	// a stream of them does not starve the large ones.
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

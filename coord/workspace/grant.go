package workspace

import (
	"sort"
	"time"
)

// lapse takes grants past their validity for spent, each at the time when it lapsed:
// whether they were is not known.
func (o *Owner) lapse(now time.Time) {
	if now.Sub(o.scanned) < scanEvery {
		return
	}
	o.scanned = now
	for _, l := range o.lapsed(now) {
		if b, known := o.buckets[l.workspace]; known {
			b.refill(l.holding.lapses)
			b.spend(l.holding.tokens)
		}
		l.holding.tokens, l.holding.granted = 0, 0
	}
	o.activeHosts = 0
	for key, r := range o.hosts {
		if now.Sub(r.seen) <= activeFor {
			o.activeHosts++
		}
		if now.Sub(r.seen) > forgetAfter {
			delete(o.hosts, key)
		}
	}
}

type lapsedHolding struct {
	workspace string
	holding   *holding
}

// lapsed returns the holdings past their validity in the order in which they lapsed.
func (o *Owner) lapsed(now time.Time) []lapsedHolding {
	var all []lapsedHolding
	for _, r := range o.hosts {
		for ws, h := range r.held {
			if h.tokens > 0 && !now.Before(h.lapses) {
				all = append(all, lapsedHolding{ws, h})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].holding.lapses.Before(all[j].holding.lapses) })
	return all
}

// answer grants what the buckets allow.
func (o *Owner) answer(d *Draw, r *hostRecord, now time.Time) *Reply {
	reply := &Reply{Epoch: o.epoch, Sequence: d.Sequence}
	active := max(1, o.activeHosts)
	for _, item := range d.Items {
		h := r.holding(item.Workspace)
		g := Grant{Workspace: item.Workspace, Keep: h.tokens, Valid: Validity}
		b, known := o.buckets[item.Workspace]
		switch {
		case !known && o.settle != nil:
			g.RetryAfter, g.Unsettled = settleRetry, true
		case !known:
			g.RetryAfter, g.Unsettled = Validity, true
		default:
			b.line.prune(now)
			longest := o.longestLine(b, now)
			b.serve(&g, item, place{host: d.From, need: item.Need, want: item.Want, seen: now}, longest, active)
			b.grant(g.Tokens)
			g.Share = b.limit.share(active)
			g.Backlog = b.backlog()
			g.Room = b.line.room(longest + b.spare())
			h.tokens += g.Tokens
			h.granted = g.Tokens
		}
		h.lapses = now.Add(Validity + validityMargin)
		reply.Grants = append(reply.Grants, g)
	}
	return reply
}

// longestLine returns how long the queue may be for one more host to join it. Calls that queued
// up without an owner are met late and not refused: they may be inside the rate.
func (o *Owner) longestLine(b *bucket, now time.Time) time.Duration {
	if now.Sub(o.settled) < AfterSilence {
		return AfterSilence
	}
	return b.longestLine()
}

// serve decides one grant: all of Need or nothing, more of Want as far as its turn and
// the tokens go, and where nobody waits a stock ahead of need by recent use. A host that
// was not met in full is queued from then on, unless the queue is longer than longest.
func (b *bucket) serve(g *Grant, item DrawItem, p place, longest time.Duration, active int64) {
	if b.passes(p) {
		b.pass(g, p)
		return
	}
	left := b.tokens() - b.line.ahead(p.host)
	free := max(0, left)
	b.noteCall(item.Need)
	if item.Need > free {
		g.RetryAfter = b.limit.After(item.Need - left)
		g.LineFull = !b.line.has(p.host) && b.backlog() > longest
		if !g.LineFull {
			b.line.stand(p)
		}
		return
	}
	turn := b.line.turn(p)
	g.Tokens = min(free, max(item.Need, min(item.Want, turn)))
	b.line.served(p, g.Tokens, turn)
	if len(b.line.places) == 0 {
		g.Tokens += b.ahead(item, g.Tokens, g.Keep, active)
	}
}

// ahead returns the stock that a host gets beyond the tokens for its waiting calls.
func (b *bucket) ahead(item DrawItem, tokens, held, active int64) int64 {
	byUse := int64(float64(item.UsePerSecond) * aheadHorizon.Seconds())
	ahead := min(byUse, b.limit.share(active))
	if item.Want == 0 {
		ahead -= held // else the waiting requests use up what is held
	}
	left := (b.tokens() - tokens) / active
	return max(0, min(ahead, left))
}

// spare returns the time in which the tokens flow in that are free beyond what all hosts
// wait for; below zero where those are more. A burst inside the allowance may come in at
// one host while its first call is under way to the owner: it may grow the line by all that
// is free.
func (b *bucket) spare() time.Duration {
	free := b.tokens() - b.line.wants()
	if free < 0 {
		return -b.limit.After(-free)
	}
	return b.limit.After(free)
}

// backlog returns the time in which the tokens flow in that all hosts wait for.
func (b *bucket) backlog() time.Duration {
	return b.limit.After(b.line.wants() - b.tokens())
}

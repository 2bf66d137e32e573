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
			g.Tokens, g.RetryAfter = grantFrom(b, item, h, active)
			b.grant(g.Tokens)
			h.tokens += g.Tokens
			h.granted = g.Tokens
		}
		h.lapses = now.Add(Validity + validityMargin)
		reply.Grants = append(reply.Grants, g)
	}
	return reply
}

// grantFrom decides one grant: all of Need or nothing, more of Want as far as it
// goes, and from what is left a stock ahead of need by recent use.
func grantFrom(b *bucket, item DrawItem, h *holding, active int64) (tokens int64, retryAfter time.Duration) {
	free := b.tokens()
	if item.Need > free {
		return 0, b.limit.After(item.Need - free)
	}
	tokens = min(free, max(item.Need, item.Want))
	byUse := int64(float64(item.UsePerSecond) * aheadHorizon.Seconds())
	share := b.limit.Burst / aheadShare / active
	ahead := min(byUse, share)
	if item.Want == 0 {
		ahead -= h.tokens // else the waiting requests use up what is held
	}
	left := (free - tokens) / active
	return tokens + max(0, min(ahead, left)), 0
}

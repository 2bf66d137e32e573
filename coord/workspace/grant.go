package workspace

import (
	"sort"
	"time"
)

// expireGrants counts expired grants as spent, each at the time of its expiry: it is not known
// whether they were. It also counts the active hosts and deletes old host records.
func (o *Owner) expireGrants(now time.Time) {
	if now.Sub(o.lastScan) < scanInterval {
		return
	}
	o.lastScan = now
	for _, e := range o.expiredHoldings(now) {
		if b, known := o.buckets[e.workspace]; known {
			b.refill(e.holding.expires)
			b.spend(e.holding.tokens)
		}
		e.holding.tokens, e.holding.granted = 0, 0
	}
	o.activeHosts = 0
	for key, r := range o.hosts {
		if now.Sub(r.seen) <= activeHostTimeout {
			o.activeHosts++
		}
		if now.Sub(r.seen) > hostRecordTTL {
			delete(o.hosts, key)
		}
	}
}

type expiredHolding struct {
	workspace string
	holding   *holding
}

// expiredHoldings returns the expired holdings in order of expiry.
func (o *Owner) expiredHoldings(now time.Time) []expiredHolding {
	var all []expiredHolding
	for _, r := range o.hosts {
		for ws, h := range r.held {
			if h.tokens > 0 && !now.Before(h.expires) {
				all = append(all, expiredHolding{ws, h})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].holding.expires.Before(all[j].holding.expires) })
	return all
}

// makeReply grants what the buckets allow and returns the reply.
func (o *Owner) makeReply(d *Draw, r *hostRecord, now time.Time) *Reply {
	reply := &Reply{Epoch: o.epoch, Sequence: d.Sequence}
	active := max(1, o.activeHosts)
	for _, item := range d.Items {
		h := r.holding(item.Workspace)
		g := Grant{Workspace: item.Workspace, Keep: h.tokens, Valid: GrantTTL}
		b, known := o.buckets[item.Workspace]
		switch {
		case !known && o.recovery != nil:
			g.RetryAfter, g.Recovering = recoveryRetryAfter, true
		case !known:
			g.RetryAfter, g.Recovering = GrantTTL, true
		default:
			b.queue.removeStale(now)
			longest := o.maxQueueDelay(b, now)
			b.serve(&g, item, queueEntry{host: d.From, need: item.Need, want: item.Want, seen: now}, longest, active)
			b.grant(g.Tokens)
			g.PrefetchLimit = b.limit.prefetchPerHost(active)
			g.Backlog = b.backlog()
			g.QueueRoom = b.queue.roomPerHost(longest + b.spareTime())
			h.tokens += g.Tokens
			h.granted = g.Tokens
		}
		h.expires = now.Add(GrantTTL + grantTTLMargin)
		reply.Grants = append(reply.Grants, g)
	}
	return reply
}

// maxQueueDelay returns the longest queue, as a delay, that one more host may join. Calls that
// were queued while there was no owner are served late rather than refused, since they may be
// inside the rate.
func (o *Owner) maxQueueDelay(b *bucket, now time.Time) time.Duration {
	if now.Sub(o.recovered) < MaxWaitAfterRecovery {
		return MaxWaitAfterRecovery
	}
	return b.maxQueueDelay()
}

// serve decides one grant: all of Need or nothing, more of Want as far as the host's
// reservation and the free tokens go, and tokens ahead of need if no host waits. A host that is
// not served in full joins the queue, unless that is longer than longest.
func (b *bucket) serve(g *Grant, item DrawItem, e queueEntry, longest time.Duration, active int64) {
	if b.mayBypass(e) {
		b.grantBypass(g, e)
		return
	}
	left := b.freeTokens() - b.queue.reservedBefore(e.host)
	free := max(0, left)
	b.noteCall(item.Need)
	if item.Need > free {
		g.RetryAfter = b.limit.FillTime(item.Need - left)
		g.QueueFull = !b.queue.has(e.host) && b.backlog() > longest
		if !g.QueueFull {
			b.queue.enqueue(e)
		}
		return
	}
	reserved := b.queue.reservedFor(e)
	g.Tokens = min(free, max(item.Need, min(item.Want, reserved)))
	b.queue.noteGrant(e, g.Tokens, reserved)
	if len(b.queue.entries) == 0 {
		g.Tokens += b.prefetch(item, g.Tokens, g.Keep, active)
	}
}

// prefetch returns the tokens that a host is granted ahead of need, beyond those for its
// queued calls, according to its recent use.
func (b *bucket) prefetch(item DrawItem, tokens, held, active int64) int64 {
	byUse := int64(float64(item.UsePerSecond) * prefetchHorizon.Seconds())
	ahead := min(byUse, b.limit.prefetchPerHost(active))
	if item.Want == 0 {
		ahead -= held // otherwise the queued requests use up the held tokens
	}
	left := (b.freeTokens() - tokens) / active
	return max(0, min(ahead, left))
}

// spareTime returns the free tokens beyond those that all hosts wait for, as the time in which
// the rate yields them. It is negative if the hosts wait for more than is free. A burst inside
// the limit may arrive at one host while its first call is on its way to the owner, so the
// queue may grow by all free tokens.
func (b *bucket) spareTime() time.Duration {
	free := b.freeTokens() - b.queue.wanted()
	if free < 0 {
		return -b.limit.FillTime(-free)
	}
	return b.limit.FillTime(free)
}

// backlog returns the time in which the rate yields the tokens that all hosts wait for, less
// the free ones.
func (b *bucket) backlog() time.Duration {
	return b.limit.FillTime(b.queue.wanted() - b.freeTokens())
}

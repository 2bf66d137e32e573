package control

import (
	"context"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// silentAfter is how long an entry host may be silent before it is forgotten. An
// entry host that was taken away for good stays registered otherwise, and each new
// owner of the rates would wait for its word and then start from empty buckets:
// callers inside their rate would be refused after every change of leader. Ten
// minutes are above any restart or repair in place, and above the time in which a
// bucket of ten minutes' rate fills.
const silentAfter = 10 * time.Minute

// silentInterval is how often silent entry hosts are looked for.
const silentInterval = time.Minute

// silentLoop runs beside the leader's other work: asking a control process that is
// cut off takes longer than a round of placement may wait.
func (c *Role) silentLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.sleep(ctx, silentInterval)
		if c.log.Status().Leading {
			c.forgetSilent(ctx)
		}
	}
}

// forgetSilent forgets entry hosts that no control process has heard of for
// silentAfter. Each must say so, and must have run for as long: one that cannot be
// reached may be the one that the host follows. Agents' hosts are never forgotten
// by themselves: a silent target may still hold its replicas.
func (c *Role) forgetSilent(ctx context.Context) {
	var hosts []*coordpb.Host
	c.machine.Read(func(s *state.State) { hosts = s.Hosts() })
	agents := map[string]bool{}
	for _, h := range hosts {
		if h.Role == state.RoleAgent {
			agents[h.Host] = true
		}
	}
	heard, all := c.heard(ctx)
	for _, h := range hosts {
		if !all || agents[h.Host] || heard[subscriberID(h.Host, h.Role, h.Incarnation)] {
			continue
		}
		err := c.commitHere(ctx, &coordpb.Command{Actor: "control", Change: &coordpb.Command_ForgetHost{
			ForgetHost: &coordpb.ForgetHost{Host: h.Host}}})
		if err == nil {
			c.logger.Info("forgot a silent entry host", "host", h.Host)
		}
	}
}

// heard returns which followers were heard of within silentAfter; all is false
// where some control process cannot speak for the whole of that time.
func (c *Role) heard(ctx context.Context) (heard map[string]bool, all bool) {
	heard = map[string]bool{}
	for _, a := range c.askMembers(ctx) {
		if a == nil || a.UptimeMs < uint64(silentAfter.Milliseconds()) {
			return nil, false
		}
		for _, sub := range a.Subscribers {
			if spokeLately(sub) {
				heard[subscriberID(sub.Caller.Host, sub.Caller.Role, sub.Caller.Incarnation)] = true
			}
		}
	}
	return heard, true
}

func spokeLately(s *rpc.Subscriber) bool {
	return int64(s.SeenMsAgo) < silentAfter.Milliseconds()
}

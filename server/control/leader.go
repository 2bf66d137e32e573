package control

import (
	"context"
	"time"

	"cowsliptiller/coord/coordpb"
)

// expireInterval is how often claims and strikes past their time are removed. They
// are void by their own time before that; removing them only frees memory.
const expireInterval = 30 * time.Second

// lead runs what only the leader does. Leading is asked anew in each round, after
// the wait: a process that was stopped while it slept must not act on what it knew
// before. A round that begins just before the lease ends is fenced by the log: its
// commands are proposed under the old term and not committed.
func (c *Role) lead(ctx context.Context) {
	var expired time.Time
	for ctx.Err() == nil {
		c.sleep(ctx, planInterval)
		st := c.log.Status()
		if !st.Leading {
			continue
		}
		c.owner.keep(st.Term, c.now())
		c.planner.plan(ctx, st.Term)
		if now := c.now(); now.Sub(expired) >= expireInterval {
			expired = now
			c.expire(ctx)
		}
	}
}

func (c *Role) expire(ctx context.Context) {
	if err := c.commitHere(ctx, &coordpb.Command{Change: &coordpb.Command_Expire{Expire: &coordpb.Expire{}}}); err != nil {
		c.logger.Debug("expiry not committed", "error", err)
	}
}

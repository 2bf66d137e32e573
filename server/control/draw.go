package control

import (
	"context"
	"math"
	"sync"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/coord/workspace"
	"cowsliptiller/server/rpc"
)

// ownerLease is how long the owner may grant after this process was last found to
// lead. The leader's lease is asked for in each Draw; this only bounds the time
// between the question and the grant.
const ownerLease = 50 * time.Millisecond

// owner keeps the owner of the workspaces' buckets while this process leads. Its
// epoch is the leader's term: no two owners have the same one.
type owner struct {
	role *Role

	mu            sync.Mutex // guards everything below; no other lock is taken under it
	buckets       *workspace.Owner
	configuration uint64 // revision of the limits in use
}

func newOwner(c *Role) *owner {
	return &owner{role: c}
}

// Draw implements rpc.Control.
func (c *Role) Draw(ctx context.Context, req *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	resp, err := c.draw(ctx, req)
	return resp, rpc.ToTwirp(err)
}

func (c *Role) draw(ctx context.Context, req *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	if req.Caller == nil {
		return nil, fault.New(fault.InvalidRequest, "the caller does not say who it is")
	}
	if !c.log.Status().Leading {
		return c.drawElsewhere(ctx, req)
	}
	// The next owner asks the registered entry hosts what they drew. One that drew
	// without being registered would be left out, and its tokens granted again.
	if err := c.registerNow(ctx, req.Caller); err != nil {
		return nil, err
	}
	// Asked anew: leadership can have passed on while the host was registered. The
	// time is read first, so that a pause in between only makes it too early.
	now := c.now()
	st := c.log.Status()
	if !st.Leading {
		return nil, fault.New(fault.NotLeader, "member %d does not lead any more", st.ID)
	}
	return c.owner.draw(req, st.Term, now)
}

func (c *Role) drawElsewhere(ctx context.Context, req *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	leader, err := c.leaderOnce(req.Forwarded)
	if err != nil {
		return nil, err
	}
	req.Forwarded = true
	resp, err := leader.Draw(ctx, req)
	return resp, rpc.FromTwirp(err)
}

// leaderOnce returns a client of the leader for a call that was not forwarded yet.
func (c *Role) leaderOnce(forwarded bool) (rpc.Control, error) {
	if forwarded {
		return nil, fault.New(fault.NotLeader, "member %d does not lead", c.log.Status().ID)
	}
	return c.leader()
}

func (o *owner) draw(req *rpc.DrawRequest, term uint64, now time.Time) (*rpc.DrawResponse, error) {
	limits, hosts, first, revision := o.standing()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.take(term, limits, hosts, first, revision, now); err != nil {
		return nil, err
	}
	o.buckets.ExtendLease(now.Add(ownerLease))
	reply, err := o.buckets.Draw(drawOf(req), now)
	if err != nil {
		return nil, err
	}
	return responseOf(reply), nil
}

// keep makes the owner of a term before anyone draws from it. A workspace that is
// configured after that is known to be new and starts with its whole burst; an owner
// made at the first Draw of a first start would not know that, and start from empty.
func (o *owner) keep(term uint64, now time.Time) {
	limits, hosts, first, revision := o.standing()
	o.mu.Lock()
	defer o.mu.Unlock()
	// A term that is over is found out by the next Draw.
	_ = o.take(term, limits, hosts, first, revision, now)
}

// take makes the owner that of the term and the limits in force; the caller holds mu.
func (o *owner) take(term uint64, limits map[string]workspace.Limit, hosts, first []workspace.HostKey, revision uint64, now time.Time) error {
	switch {
	case o.buckets == nil || o.buckets.Epoch() < term:
		o.buckets = workspace.NewOwner(term, limits, hosts, now)
		o.buckets.MarkFirstIncarnations(first)
		o.configuration = revision
	case o.buckets.Epoch() > term:
		return fault.New(fault.NotLeader, "term %d is over", term)
	case o.configuration < revision: // never back: a workspace given anew starts full
		o.buckets.Configure(limits, now)
		o.configuration = revision
	}
	return nil
}

// standing reads the limits in force and the entry hosts that may hold grants.
// Only the present incarnation of a host is named: where an earlier one drew in
// the window, the present one's uptime is below it, and the owner starts empty. The
// runs in first had no earlier one on their host, so that nothing of it is missing.
func (o *owner) standing() (limits map[string]workspace.Limit, hosts, first []workspace.HostKey, revision uint64) {
	var cfg *config.Configuration
	var adopted *coordpb.Deployment
	o.role.machine.Read(func(s *state.State) {
		cfg, adopted = s.Configuration(), s.Deployment()
		for _, h := range s.Hosts() {
			if h.Role != state.RoleEntry {
				continue
			}
			key := workspace.HostKey{Host: h.Host, Incarnation: h.Incarnation}
			hosts = append(hosts, key)
			if len(h.PastIncarnations) == 0 {
				first = append(first, key)
			}
		}
	})
	switch {
	case adopted != nil:
		return deployment.WorkspaceLimits(adopted), hosts, first, adopted.Version
	case cfg != nil:
		return workspace.Limits(cfg), hosts, first, cfg.Revision
	}
	return map[string]workspace.Limit{}, hosts, first, 0
}

func drawOf(req *rpc.DrawRequest) *workspace.Draw {
	d := &workspace.Draw{
		From:     workspace.HostKey{Host: req.Caller.Host, Incarnation: req.Caller.Incarnation},
		Sequence: req.Sequence, Applied: req.Applied, Epoch: req.Epoch,
		Uptime: time.Duration(req.UptimeMs) * time.Millisecond,
	}
	for _, item := range req.Items {
		d.Items = append(d.Items, drawItemOf(item))
	}
	return d
}

func drawItemOf(item *rpc.DrawItem) workspace.DrawItem {
	out := workspace.DrawItem{
		Workspace: item.Workspace, Need: item.NeedTokens, Want: item.WantTokens,
		Holding: item.HoldingTokens, Return: item.ReturnTokens,
		SpentInWindow: item.DrawnInWindow, UsePerSecond: item.RecentUsePerS,
	}
	for _, r := range item.Refunds {
		out.Refunds = append(out.Refunds, workspace.Refund{Tokens: r.Tokens, ChargeSequence: r.Charged})
	}
	return out
}

func responseOf(reply *workspace.Reply) *rpc.DrawResponse {
	resp := &rpc.DrawResponse{Epoch: reply.Epoch, Sequence: reply.Sequence}
	for _, g := range reply.Grants {
		resp.Grants = append(resp.Grants, &rpc.DrawGrant{
			Workspace: g.Workspace, Tokens: g.Tokens, KeepTokens: g.Keep,
			ValidMs: uint32(g.Valid.Milliseconds()), RetryAfterMs: roundUp(g.RetryAfter), Unsettled: g.Recovering,
			LineFull: g.QueueFull, BacklogMs: roundUp(g.Backlog), RoomMs: room(g.QueueRoom), ShareTokens: g.PrefetchLimit,
		})
	}
	return resp
}

// room gives milliseconds as the message holds them, 24 days at most: a burst that takes
// longer than that at its rate would wrap around, and look like a line that is full.
func room(d time.Duration) int32 {
	return int32(max(math.MinInt32, min(math.MaxInt32, d.Milliseconds())))
}

// roundUp gives milliseconds that are never too few: a caller that comes back
// early is refused again.
func roundUp(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

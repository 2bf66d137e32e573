package control

import (
	"context"
	"sync"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// owner serves draws from workspaces' buckets while this process leads.
type owner struct {
	role *Role

	mu      sync.Mutex
	epoch   uint64
	buckets map[string]*bucket
}

// bucket is a plain token bucket that starts empty: what the owner before this one
// granted is not known here.
type bucket struct {
	tokens  float64
	updated time.Time
}

// grantValid is how long a grant may be spent.
const grantValid = 5 * time.Second

func newOwner(c *Role) *owner {
	return &owner{role: c, buckets: map[string]*bucket{}}
}

// Draw implements rpc.Control.
func (c *Role) Draw(ctx context.Context, req *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	st := c.log.Status()
	if st.Leading {
		return c.owner.draw(req, st.Term), nil
	}
	if req.Forwarded {
		return nil, rpc.ToTwirp(fault.New(fault.NotLeader, "member %d does not lead", st.ID))
	}
	leader, err := c.leader()
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	req.Forwarded = true
	resp, err := leader.Draw(ctx, req)
	return resp, rpc.ToTwirp(rpc.FromTwirp(err))
}

func (o *owner) draw(req *rpc.DrawRequest, term uint64) *rpc.DrawResponse {
	var specs map[string]config.WorkspaceSpec
	o.role.machine.Read(func(s *state.State) {
		if cfg := s.Configuration(); cfg != nil {
			specs = cfg.Workspaces
		}
	})
	now := o.role.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if term != o.epoch {
		o.epoch = term
		o.buckets = map[string]*bucket{}
	}
	resp := &rpc.DrawResponse{Epoch: term}
	for _, item := range req.Items {
		spec, ok := specs[item.Workspace]
		if !ok {
			continue
		}
		resp.Grants = append(resp.Grants, o.drawOne(item, spec, now))
	}
	return resp
}

func (o *owner) drawOne(item *rpc.DrawItem, spec config.WorkspaceSpec, now time.Time) *rpc.DrawGrant {
	b, ok := o.buckets[spec.Name]
	if !ok {
		b = &bucket{updated: now}
		o.buckets[spec.Name] = b
	}
	b.tokens = min(float64(spec.Burst), b.tokens+now.Sub(b.updated).Seconds()*float64(spec.Rate))
	b.updated = now
	if item.Epoch == o.epoch {
		b.tokens = min(float64(spec.Burst), b.tokens+float64(max(0, item.ReturnTokens)))
	}
	grant := &rpc.DrawGrant{Workspace: spec.Name, ValidMs: uint32(grantValid.Milliseconds())}
	missing := float64(item.WantTokens) - b.tokens
	if missing > 0 {
		grant.RetryAfterMs = uint32(missing / float64(spec.Rate) * 1000)
		return grant
	}
	b.tokens -= float64(max(0, item.WantTokens))
	grant.Tokens = max(0, item.WantTokens)
	return grant
}

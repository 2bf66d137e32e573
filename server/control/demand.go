package control

import (
	"context"
	"time"

	"cowsliptiller/coord/placement"
	"cowsliptiller/server/rpc"
)

// Demand implements rpc.Control.
func (c *Role) Demand(ctx context.Context, req *rpc.DemandRequest) (*rpc.DemandResponse, error) {
	st := c.log.Status()
	if st.Leading {
		return c.planner.demand(req, st.Term), nil
	}
	leader, err := c.leaderOnce(req.Forwarded)
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	req.Forwarded = true
	resp, err := leader.Demand(ctx, req)
	return resp, rpc.ToTwirp(rpc.FromTwirp(err))
}

func (p *planner) demand(req *rpc.DemandRequest, term uint64) *rpc.DemandResponse {
	read := p.standing()
	now := p.role.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.renew(term, read.configuration, now)
	list := make([]placement.Demand, 0, len(req.Demands))
	for _, d := range req.Demands {
		list = append(list, demandOf(d, now))
	}
	p.placement.ObserveDemand(req.Caller.GetHost(), list, now)
	resp := &rpc.DemandResponse{}
	for _, d := range req.Demands {
		f := p.placement.Forecast(d.Model, now)
		resp.Forecasts = append(resp.Forecasts, &rpc.ModelForecast{Model: d.Model, Possible: f.Possible, ReadyInMs: f.ReadyIn.Milliseconds()})
	}
	return resp
}

func demandOf(d *rpc.ModelDemand, now time.Time) placement.Demand {
	out := placement.Demand{Model: d.Model, Waiting: int(d.Waiting), Interactive: d.Interactive, Served: d.Served}
	if d.Waiting > 0 {
		out.EarliestDeadline = now.Add(time.Duration(d.EarliestDeadlineMs) * time.Millisecond)
	}
	return out
}

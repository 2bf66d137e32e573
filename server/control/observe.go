package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// observeInterval is how often a process that does not lead hands on what agents
// reported: well inside a lease, so that the planner does not take them for silent.
const observeInterval = 250 * time.Millisecond

// ownReports returns the newest report of each agent that polled here, by host.
func (c *Role) ownReports() map[string]report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]report{}
	for id, r := range c.reports {
		if id.Role != state.RoleAgent {
			continue
		}
		if other, ok := out[id.Host]; !ok || r.at.After(other.at) {
			out[id.Host] = r
		}
	}
	return out
}

// observeLoop hands the agents' reports to the leader while another process leads.
func (c *Role) observeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.sleep(ctx, observeInterval)
		reports := c.ownReports()
		leader, err := c.leader()
		if err != nil || len(reports) == 0 {
			continue
		}
		c.observe(ctx, leader, reports)
	}
}

func (c *Role) observe(ctx context.Context, leader rpc.Control, reports map[string]report) {
	ctx, cancel := context.WithTimeout(ctx, c.freshness/oldestBarrier)
	defer cancel()
	now := c.now()
	req := &rpc.ObserveRequest{}
	for _, host := range slices.Sorted(maps.Keys(reports)) {
		r := reports[host]
		req.Observations = append(req.Observations, &rpc.Observation{
			Caller: r.caller, Report: r.report, AgeMs: uint32(now.Sub(r.at).Milliseconds()),
		})
	}
	if _, err := leader.Observe(ctx, req); err != nil {
		c.logger.Debug("reports not handed on", "error", err)
	}
}

// Observe implements rpc.Control.
func (c *Role) Observe(_ context.Context, req *rpc.ObserveRequest) (*rpc.ObserveResponse, error) {
	now := c.now()
	c.planner.mu.Lock()
	defer c.planner.mu.Unlock()
	for _, o := range req.Observations {
		if o.Caller == nil {
			continue
		}
		r := report{caller: o.Caller, report: o.Report, at: now.Add(-time.Duration(o.AgeMs) * time.Millisecond)}
		if old, ok := c.planner.observed[o.Caller.Host]; !ok || r.at.After(old.at) {
			c.planner.observed[o.Caller.Host] = r
		}
	}
	return &rpc.ObserveResponse{}, nil
}

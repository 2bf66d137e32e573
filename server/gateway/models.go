package gateway

import (
	"context"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/rpc"
)

// Bounds of waiting for a model.
const (
	// maxHomes is how many agents are asked for a model, one after the other.
	maxHomes = 3
	// maxAwaited bounds how often one call waits: a model that was dropped again
	// before the call arrived is asked for once more.
	maxAwaited = 4
	// ensureSlack is left of a caller's patience for the way to the target and its
	// first token.
	ensureSlack = 150 * time.Millisecond
	// coldRetryAfter is suggested where no agent said when it can be.
	coldRetryAfter = time.Second
	// leavingRetryAfter: another host takes the request at once.
	leavingRetryAfter = 50 * time.Millisecond
)

// cold gets the call's model loaded somewhere. It is called where no target that may
// still be tried holds it.
func (t *tries) cold(ctx context.Context) (place, error) {
	g, c := t.gateway, t.call
	if t.awaited >= maxAwaited {
		return place{}, fault.NewRetryAfter(fault.NoCapacity, coldRetryAfter, "model %q does not stay loaded", c.modelName())
	}
	t.awaited++
	homes := g.targets.homes(c.service.Name, loadTimes(c), t.exclude)
	err := error(fault.NewRetryAfter(fault.NoCapacity, coldRetryAfter, "no target can load model %q", c.modelName()))
	for _, home := range homes[:min(maxHomes, len(homes))] {
		loadedForRetry := c.retryExpected // by an earlier home, whose time to retry is the answer
		refusal := g.ensure(ctx, c, home)
		if refusal == nil {
			return place{Status: home, query: g.targets.queryFor(c)}, nil
		}
		if ctx.Err() != nil {
			return place{}, ended(ctx)
		}
		if !loadedForRetry {
			err = refusal
		}
	}
	return place{}, err
}

// loadTimes says what a call's model takes to load.
func loadTimes(c *call) targetstatus.LoadTimes {
	m := c.service.Models[c.Model] // nil, and no time known, for a model that is not configured
	return targetstatus.LoadTimes{
		Model:     c.Model,
		FromStore: time.Duration(m.GetLoadS() * float64(time.Second)),
		FromDisk:  time.Duration(m.GetDiskS() * float64(time.Second)),
	}
}

// ensure asks a target's agent to have the call's model, and its adapter, loaded. When this
// host is told to stop meanwhile, the agent is asked again for what can come before that:
// it refuses at once what cannot. Errors: fault.NoCapacity with when to come back,
// fault.Leaving.
func (g *Gateway) ensure(ctx context.Context, c *call, home targetstatus.Status) error {
	if !g.leaving() {
		err := g.ensureUntil(ctx, c, home, g.draining)
		if err == nil || !g.leaving() || ctx.Err() != nil {
			return err
		}
	}
	err := g.ensureUntil(ctx, c, home, g.left)
	if err != nil && ctx.Err() == nil {
		return fault.NewRetryAfter(fault.Leaving, leavingRetryAfter, "this host is stopping, another one can wait for model %q", c.modelName())
	}
	return err
}

// ensureUntil asks an agent once. The call ends when stop is closed.
func (g *Gateway) ensureUntil(ctx context.Context, c *call, home targetstatus.Status, stop <-chan struct{}) error {
	limit := g.modelLimit(c.start.Add(c.patience() - ensureSlack).Sub(g.config.Now()))
	if limit <= 0 {
		return fault.NewRetryAfter(fault.NoCapacity, coldRetryAfter, "model %q was not ready in time", c.modelName())
	}
	g.config.Events.ModelAwaited(c.RequestID, c.modelName(), home.Instance, limit)
	ctx, cancel := context.WithTimeout(ctx, limit+ensureSlack)
	defer cancel()
	defer g.until(stop, cancel)()
	resp, err := g.config.Loader(home.Agent).Ensure(ctx, &rpc.EnsureRequest{
		Instance: home.Instance, Model: c.Model, Adapter: c.Adapter, WaitMs: uint32(limit.Milliseconds()),
		Value: c.worth(), Request: c.RequestID, Retries: !c.retryExpected,
	})
	if err != nil {
		f := fault.From(rpc.FromTwirp(err))
		g.config.Events.ModelRefused(c.RequestID, c.modelName(), home.Instance, f.Message, 0)
		return fault.NewRetryAfter(fault.NoCapacity, coldRetryAfter, "the agent of target %s: %s", home.Instance, f.Message)
	}
	if resp.Held {
		return g.targets.stays(home.Instance)
	}
	c.retryExpected = c.retryExpected || resp.Expected
	after := time.Duration(resp.RetryAfterMs) * time.Millisecond
	g.config.Events.ModelRefused(c.RequestID, c.modelName(), home.Instance, resp.Reason, after)
	if after == 0 {
		after = coldRetryAfter
	}
	return fault.NewRetryAfter(fault.NoCapacity, after, "model %q on target %s: %s", c.modelName(), home.Instance, resp.Reason)
}

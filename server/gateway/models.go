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
	// maxLoadTargets is how many agents are asked for a model, one after the other.
	maxLoadTargets = 3
	// maxModelWaits bounds how often one call waits: a model that was dropped again
	// before the call arrived is asked for once more.
	maxModelWaits = 4
	// ensureMargin is left of a caller's patience for the way to the target and its
	// first token.
	ensureMargin = 150 * time.Millisecond
	// loadRetryAfter is suggested where no agent said when it can be.
	loadRetryAfter = time.Second
	// drainRetryAfter: another host takes the request at once.
	drainRetryAfter = 50 * time.Millisecond
)

// loadModel gets the call's model loaded somewhere. It is called where no target that may
// still be tried holds it.
func (t *retryState) loadModel(ctx context.Context) (destination, error) {
	g, c := t.gateway, t.call
	if t.modelWaits >= maxModelWaits {
		return destination{}, fault.After(fault.NoCapacity, loadRetryAfter, "model %q does not stay loaded", c.modelName())
	}
	t.modelWaits++
	homes := g.targets.loadCandidates(c.service.Name, loadTimes(c), t.excluded)
	err := error(fault.After(fault.NoCapacity, loadRetryAfter, "no target can load model %q", c.modelName()))
	for _, home := range homes[:min(maxLoadTargets, len(homes))] {
		loadedForRetry := c.retryExpected // by an earlier home, whose time to retry is the answer
		refusal := g.ensure(ctx, c, home)
		if refusal == nil {
			return destination{Status: home, query: g.targets.routingRequest(c)}, nil
		}
		if ctx.Err() != nil {
			return destination{}, contextError(ctx)
		}
		if !loadedForRetry {
			err = refusal
		}
	}
	return destination{}, err
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
	if !g.isDraining() {
		err := g.ensureUntil(ctx, c, home, g.draining)
		if err == nil || !g.isDraining() || ctx.Err() != nil {
			return err
		}
	}
	err := g.ensureUntil(ctx, c, home, g.rejectWaits)
	if err != nil && ctx.Err() == nil {
		return fault.After(fault.Leaving, drainRetryAfter, "this host is stopping, another one can wait for model %q", c.modelName())
	}
	return err
}

// ensureUntil asks an agent once. The call ends when stop is closed.
func (g *Gateway) ensureUntil(ctx context.Context, c *call, home targetstatus.Status, stop <-chan struct{}) error {
	limit := g.boundModelWait(c.start.Add(c.waitLimit() - ensureMargin).Sub(g.config.Now()))
	if limit <= 0 {
		return fault.After(fault.NoCapacity, loadRetryAfter, "model %q was not ready in time", c.modelName())
	}
	g.config.Events.ModelAwaited(c.RequestID, c.modelName(), home.Instance, limit)
	ctx, cancel := context.WithTimeout(ctx, limit+ensureMargin)
	defer cancel()
	defer g.cancelOnClose(stop, cancel)()
	resp, err := g.config.Loader(home.Agent).Ensure(ctx, &rpc.EnsureRequest{
		Instance: home.Instance, Model: c.Model, Adapter: c.Adapter, WaitMs: uint32(limit.Milliseconds()),
		Value: c.value(), Request: c.RequestID, Retries: !c.retryExpected,
	})
	if err != nil {
		f := fault.From(rpc.FromTwirp(err))
		g.config.Events.ModelRefused(c.RequestID, c.modelName(), home.Instance, f.Message, 0)
		return fault.After(fault.NoCapacity, loadRetryAfter, "the agent of target %s: %s", home.Instance, f.Message)
	}
	if resp.Held {
		return g.targets.checkAvailable(home.Instance)
	}
	c.retryExpected = c.retryExpected || resp.Expected
	after := time.Duration(resp.RetryAfterMs) * time.Millisecond
	g.config.Events.ModelRefused(c.RequestID, c.modelName(), home.Instance, resp.Reason, after)
	if after == 0 {
		after = loadRetryAfter
	}
	return fault.After(fault.NoCapacity, after, "model %q on target %s: %s", c.modelName(), home.Instance, resp.Reason)
}

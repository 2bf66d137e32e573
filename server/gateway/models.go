package gateway

import (
	"cmp"
	"context"
	"strings"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/rpc"
)

// Bounds of waiting for a model.
const (
	// maxLoadTargets bounds how many agents are asked for a model, one after the other.
	maxLoadTargets = 3
	// maxModelWaits bounds how often one call waits: a model that was dropped again
	// before the call arrived is asked for once more.
	maxModelWaits = 4
	// ensureMargin is reserved from a caller's wait limit for reaching the target and
	// its first token.
	ensureMargin = 150 * time.Millisecond
	// loadRetryAfter is used if no agent gave a time.
	loadRetryAfter = time.Second
	// drainRetryAfter: another host takes the request at once.
	drainRetryAfter = 50 * time.Millisecond
)

// loadModel has the call's model loaded at a target. It is called if no remaining
// candidate holds it.
func (t *retryState) loadModel(ctx context.Context) (destination, error) {
	g, c := t.gateway, t.call
	if t.modelWaits >= maxModelWaits {
		return destination{}, fault.NewRetryAfter(fault.NoCapacity, loadRetryAfter, "model %q does not stay loaded", c.modelName())
	}
	t.modelWaits++
	candidates := g.targets.loadCandidates(c, t.excluded)
	err := noLoadTarget(c)
	for _, candidate := range candidates[:min(maxLoadTargets, len(candidates))] {
		loadedForRetry := c.retryExpected // by an earlier candidate, whose retry time is returned
		refusal := t.ensure(ctx, candidate)
		if refusal == nil {
			return g.targets.loadedAt(c, candidate), nil
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

// noLoadTarget is the refusal of a call whose model no target can load.
func noLoadTarget(c *call) error {
	return fault.NewRetryAfter(fault.NoCapacity, loadRetryAfter, "no target can load model %q", c.modelName())
}

// loadTimes returns the load times of a call's model.
func loadTimes(c *call) targetstatus.LoadTimes {
	m := c.service.Models[c.Model] // nil, and no time known, for a model that is not configured
	return targetstatus.LoadTimes{
		Model:     c.Model,
		FromStore: time.Duration(m.GetLoadS() * float64(time.Second)),
		FromDisk:  time.Duration(m.GetDiskS() * float64(time.Second)),
	}
}

// ensure asks a target's agent to have the call's model, and its adapter, loaded. If this
// host begins to drain meanwhile, the agent is asked again with the shorter limit and
// refuses at once if it cannot meet it. Errors: fault.NoCapacity with a retry time,
// fault.Leaving.
func (t *retryState) ensure(ctx context.Context, candidate targetstatus.Status) error {
	g, c := t.gateway, t.call
	if !g.isDraining() {
		err := t.ensureUntil(ctx, candidate, g.draining)
		if err == nil || !g.isDraining() || ctx.Err() != nil {
			return err
		}
	}
	err := t.ensureUntil(ctx, candidate, g.rejectWaits)
	if err != nil && ctx.Err() == nil {
		return fault.NewRetryAfter(fault.Leaving, drainRetryAfter, "this host is shutting down; retry at another host for model %q", c.modelName())
	}
	return err
}

// modelWaitLimit returns how long the call may wait for its model from now on.
func (t *retryState) modelWaitLimit() time.Duration {
	g := t.gateway
	lastEvent := time.Duration(t.relay.lastEventAfter.Load())
	return g.boundModelWait(t.call.waitDeadline(lastEvent).Add(-ensureMargin).Sub(g.config.Now()))
}

// ensureUntil asks an agent once. The call ends when stop is closed.
func (t *retryState) ensureUntil(ctx context.Context, candidate targetstatus.Status, stop <-chan struct{}) error {
	g, c := t.gateway, t.call
	limit := t.modelWaitLimit()
	if limit <= 0 {
		return fault.NewRetryAfter(fault.NoCapacity, loadRetryAfter, "model %q was not ready in time", c.modelName())
	}
	g.config.Events.ModelAwaited(c.RequestID, c.modelName(), candidate.Instance, limit)
	ctx, cancel := context.WithTimeout(ctx, limit+ensureMargin)
	defer cancel()
	defer g.cancelOnClose(stop, cancel)()
	resp, err := g.config.Loader(candidate.Agent).Ensure(ctx, &rpc.EnsureRequest{
		Instance: candidate.Instance, Model: c.Model, Adapter: c.Adapter, WaitMs: uint32(limit.Milliseconds()),
		Value: c.value(), Request: strings.ToValidUTF8(c.RequestID, "?"), Retries: !c.retryExpected,
	})
	if err != nil {
		f := fault.From(rpc.FromTwirp(err))
		g.config.Events.ModelRefused(c.RequestID, c.modelName(), candidate.Instance, f.Message, 0)
		return fault.NewRetryAfter(fault.NoCapacity, cmp.Or(f.RetryAfter, loadRetryAfter), "the agent of target %s: %s", candidate.Instance, f.Message)
	}
	g.targets.recordWarmUp(candidate.Instance, time.Duration(resp.WarmUpMs)*time.Millisecond)
	if resp.Held {
		return g.targets.checkAvailable(candidate.Instance)
	}
	c.retryExpected = c.retryExpected || resp.Expected
	after := time.Duration(resp.RetryAfterMs) * time.Millisecond
	g.config.Events.ModelRefused(c.RequestID, c.modelName(), candidate.Instance, resp.Reason, after)
	if after == 0 {
		after = loadRetryAfter
	}
	return fault.NewRetryAfter(fault.NoCapacity, after, "model %q on target %s: %s", c.modelName(), candidate.Instance, resp.Reason)
}

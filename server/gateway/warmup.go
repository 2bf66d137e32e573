package gateway

import (
	"context"
	"maps"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/server/rpc"
)

// listDelay is how much later than a target's restart the platform's list shows it.
const listDelay = 2 * time.Second

// reserver hands out the send times of a target that warms up.
type reserver interface {
	Reserve(context.Context, *rpc.ReserveRequest) (*rpc.ReserveResponse, error)
}

// reserveSend waits for the send time of a target that warms up. Errors: fault.Overloaded
// with a retry time, and those of contextError.
func (t *retryState) reserveSend(ctx context.Context, p *destination) error {
	limit := t.call.service.WarmUp()
	if !limit.Applies() || !t.gateway.targets.warmingUp(*p) {
		return nil
	}
	err := t.reserve(ctx, p)
	if err != nil && ctx.Err() == nil {
		f := fault.From(err)
		t.gateway.config.Events.SendTimeRefused(t.call.RequestID, p.Instance, f.Message, f.RetryAfter)
	}
	return err
}

func (t *retryState) reserve(ctx context.Context, p *destination) error {
	asked := t.gateway.config.Now()
	resp, err := t.requestSendTime(ctx, *p)
	t.gateway.config.Metrics.sendTime(p.Service, resp.GetGranted())
	if err != nil {
		return err
	}
	wait := time.Duration(resp.WaitMs) * time.Millisecond
	if !resp.Granted {
		return fault.NewRetryAfter(fault.Overloaded, request.QueueRetryAfter(wait), "target %s warms up: next send time in %v", p.Instance, wait)
	}
	window, ok := warmup.NewWindow(asked, t.gateway.config.Now(), wait)
	if !ok {
		return fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "target %s warms up: no send time within %v", p.Instance, warmup.MaxRoundTrip)
	}
	p.window = window
	return t.awaitSendTime(ctx, wait)
}

// requestSendTime asks the target's owner: its agent, or the control leader if it has none.
func (t *retryState) requestSendTime(ctx context.Context, p destination) (*rpc.ReserveResponse, error) {
	g, c := t.gateway, t.call
	var owner reserver
	if p.Agent != "" {
		owner = g.config.Loader(p.Agent)
	} else if b := g.config.Board(); b != nil {
		owner = b
	} else {
		return nil, errNoBoard
	}
	spent := g.config.Now().Sub(c.start)
	most := request.MaxQueueWait(spent, time.Duration(c.route.LatencyMs)*time.Millisecond, c.waitLimit())
	limited, cancel := context.WithTimeout(ctx, warmup.MaxRoundTrip)
	defer cancel()
	resp, err := owner.Reserve(limited, &rpc.ReserveRequest{
		Caller: g.config.Caller, Instance: p.Instance, Service: p.Service, MaxWaitMs: uint32(most.Milliseconds()),
	})
	switch {
	case err == nil:
		return resp, nil
	case ctx.Err() != nil:
		return nil, contextError(ctx)
	}
	return nil, fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "target %s warms up: no send time: %s", p.Instance, fault.From(rpc.FromTwirp(err)).Message)
}

func (t *retryState) awaitSendTime(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

// warmingUp reports whether a target may be slow: its row says so, an agent said so, or this
// host could not connect to it lately.
func (t *targets) warmingUp(p destination) bool {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.table.Get(p.Instance); row != nil && now.Before(row.WarmUpUntil) {
		return true
	}
	return now.Before(t.warmUps[p.Instance])
}

// recordWarmUp records that a target is slow for some time, sooner than the table shows it.
func (t *targets) recordWarmUp(instance string, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	now := t.config.Now()
	until := now.Add(remaining)
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.warmUps, func(_ string, end time.Time) bool { return end.Before(now) })
	if t.warmUps[instance].Before(until) {
		t.warmUps[instance] = until
	}
}

// recordUnreachable records that no connection to a target could be opened. It may have
// restarted, and of a target without an agent the list shows that seconds later.
func (t *retryState) recordUnreachable(p destination) {
	if limit := t.call.service.WarmUp(); limit.Applies() && p.Agent == "" {
		t.gateway.targets.recordWarmUp(p.Instance, limit.Duration+listDelay)
	}
}

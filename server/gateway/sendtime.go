package gateway

import (
	"context"
	"fmt"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/server/board"
	"cowsliptiller/server/rpc"
)

// reserver hands out the send times of a target.
type reserver interface {
	Reserve(context.Context, *rpc.ReserveRequest) (*rpc.ReserveResponse, error)
}

// pace is why a call needs a send time.
type pace struct {
	warmsUp bool
	limit   ratelimit.Observation
	suspect bool // the call's request is one strike short of being refused
}

func (p pace) applies() bool { return p.warmsUp || p.limit.Limited || p.suspect }

// String describes the target for a refusal.
func (p pace) String() string {
	switch {
	case p.suspect:
		return "may crash under the request"
	case !p.limit.Limited:
		return "warms up"
	case p.warmsUp:
		return fmt.Sprintf("warms up and takes %.3g requests a second", p.limit.PerSecond)
	}
	return fmt.Sprintf("takes %.3g requests a second", p.limit.PerSecond)
}

// reserveSend waits for the send time of a target that warms up or announces a rate limit, or of a
// request that may crash it.
// Errors: fault.Overloaded with a retry time, and those of contextError.
func (t *retryState) reserveSend(ctx context.Context, p *destination) error {
	why := t.paceAt(*p)
	why.suspect = request.MustPace(t.gateway.quarantine.strikes(t.call), t.gateway.config.Now())
	if !why.applies() {
		return nil
	}
	err := t.reserve(ctx, p, why)
	if err != nil && ctx.Err() == nil {
		f := fault.From(err)
		t.gateway.config.Events.SendTimeRefused(t.call.RequestID, p.Instance, f.Message, f.RetryAfter)
	}
	return err
}

// paceAt returns why any request needs a send time at a target.
func (t *retryState) paceAt(p destination) pace {
	targets := t.gateway.targets
	return pace{
		warmsUp: t.call.service.WarmUp().Applies() && targets.warmingUp(p),
		limit:   targets.rateLimit(p.Instance),
	}
}

func (t *retryState) reserve(ctx context.Context, p *destination, why pace) error {
	asked := t.gateway.config.Now()
	resp, err := t.requestSendTime(ctx, *p, why)
	t.gateway.config.Metrics.sendTime(p.Service, resp.GetGranted())
	if err != nil {
		return err
	}
	t.gateway.targets.learnRateLimit(p.Instance, resp.RateLimit, asked)
	wait := time.Duration(resp.WaitMs) * time.Millisecond
	if !resp.Granted {
		return fault.NewRetryAfter(fault.Overloaded, request.QueueRetryAfter(wait), "target %s %v: next send time in %v", p.Instance, why, wait)
	}
	window, ok := warmup.NewWindow(asked, t.gateway.config.Now(), wait)
	if !ok {
		return fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "target %s %v: no send time within %v", p.Instance, why, warmup.MaxRoundTrip)
	}
	p.window = window
	return t.awaitSendTime(ctx, wait)
}

// requestSendTime asks the target's owner: its agent, or the control leader if it has none.
func (t *retryState) requestSendTime(ctx context.Context, p destination, why pace) (*rpc.ReserveResponse, error) {
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
		Warm: !why.warmsUp, Suspect: why.suspect, RateLimit: board.RateLimitToRPC(why.limit, g.config.Now()),
	})
	switch {
	case err == nil:
		return resp, nil
	case ctx.Err() != nil:
		return nil, contextError(ctx)
	}
	return nil, fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "target %s %v: no send time: %s", p.Instance, why, fault.From(rpc.FromTwirp(err)).Message)
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

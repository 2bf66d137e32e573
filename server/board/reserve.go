package board

import (
	"context"
	"time"

	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/server/rpc"
)

// maxReserveAhead limits how far ahead the board hands out send times. An agent that starts
// hands out none for its first warmup.MaxAhead, and reports to the board before that ends.
const maxReserveAhead = warmup.MaxAhead / 4

// Reserve implements rpc.Board. It refuses for a target that has an agent, also one that does
// not answer for the moment: with two owners the target would get twice its rate.
func (b *Board) Reserve(_ context.Context, r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	if _, err := b.lead(); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	now := b.config.Now()
	limit := deployment.WarmUpLimit(b.service(r.Service))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table.HasAgent(r.Instance, now) {
		return &rpc.ReserveResponse{WaitMs: uint32(warmup.MaxAhead.Milliseconds())}, nil
	}
	return ReserveFrom(b.sendTimes, r, limit, maxReserveAhead, now), nil
}

// ReserveFrom answers a request for a send time of a target, at most maxAhead from now. warmUp is
// the limit of targets of its service that warm up.
func ReserveFrom(o *ratelimit.Owner, r *rpc.ReserveRequest, warmUp warmup.Limit, maxAhead time.Duration, now time.Time) *rpc.ReserveResponse {
	request := ratelimit.Request{
		Target: r.Instance, Known: RateLimitFromRPC(r.RateLimit, now),
		MaxWait: min(maxAhead, time.Duration(r.MaxWaitMs)*time.Millisecond), Suspect: r.Suspect,
	}
	if !r.Warm {
		request.WarmUpPerSecond = warmUp.PerSecond
	}
	reserved := o.Reserve(request, now)
	return &rpc.ReserveResponse{
		Granted: reserved.Granted, WaitMs: uint32(reserved.Wait.Milliseconds()), RateLimit: RateLimitToRPC(reserved.Known, now),
	}
}

package control

import (
	"context"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// Claim implements rpc.Control. The answer comes only after the claim is committed
// and synced. A claim that another attempt holds, or that is done, is no error: the
// standing claim tells what to answer. A key that came with another request is.
func (c *Role) Claim(ctx context.Context, req *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	if req.Claim == nil {
		return nil, rpc.ToTwirp(fault.New(fault.InvalidRequest, "no claim"))
	}
	r, err := c.propose(ctx, &coordpb.Command{Actor: req.Caller.GetHost(), Change: &coordpb.Command_OpenClaim{OpenClaim: req.Claim}})
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	if err := state.ResultError(r); err != nil && !fault.Is(err, fault.AlreadyClaimed) {
		return nil, rpc.ToTwirp(err)
	}
	return &rpc.ClaimResponse{Granted: granted(r, req.Claim), Claim: r.Claim}, nil
}

func granted(r *coordpb.Result, m *coordpb.OpenClaim) bool {
	return r.Kind == "" && r.Claim.GetState() == coordpb.ClaimState_CLAIM_STATE_OPEN && r.Claim.Attempt == m.Attempt
}

// Settle implements rpc.Control.
func (c *Role) Settle(ctx context.Context, req *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	if req.Settle == nil {
		return nil, rpc.ToTwirp(fault.New(fault.InvalidRequest, "nothing to settle"))
	}
	_, err := c.commit(ctx, &coordpb.Command{Actor: req.Caller.GetHost(), Change: &coordpb.Command_SettleClaim{SettleClaim: req.Settle}})
	return &rpc.SettleResponse{}, rpc.ToTwirp(err)
}

// Strike implements rpc.Control.
func (c *Role) Strike(ctx context.Context, req *rpc.StrikeRequest) (*rpc.StrikeResponse, error) {
	if req.Crashes != nil {
		return c.recordCrashes(ctx, req)
	}
	if req.Strike == nil {
		return nil, rpc.ToTwirp(fault.New(fault.InvalidRequest, "no strike"))
	}
	r, err := c.commit(ctx, &coordpb.Command{Actor: req.Caller.GetHost(), Change: &coordpb.Command_RecordStrike{RecordStrike: req.Strike}})
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	return &rpc.StrikeResponse{Strikes: r.Strikes}, nil
}

// recordCrashes commits what an entry host saw of crashed targets.
func (c *Role) recordCrashes(ctx context.Context, req *rpc.StrikeRequest) (*rpc.StrikeResponse, error) {
	r, err := c.commit(ctx, &coordpb.Command{Actor: req.Caller.GetHost(), Change: &coordpb.Command_RecordCrashes{RecordCrashes: req.Crashes}})
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	for _, id := range r.Quarantined {
		c.logger.Warn("request quarantined", "request", id)
	}
	for _, p := range r.ConvictedParts {
		c.logger.Warn("part of a prompt quarantined", "part", state.PartID(request.Part(p)))
	}
	return &rpc.StrikeResponse{}, nil
}

// Confirm implements rpc.Control. A confirmation that is late (a newer order, a
// replica already gone) is dropped: the agent learns the newer order from its view.
func (c *Role) Confirm(ctx context.Context, req *rpc.ConfirmRequest) (*rpc.ConfirmResponse, error) {
	if req.Caller == nil {
		return nil, rpc.ToTwirp(fault.New(fault.InvalidRequest, "the caller does not say who it is"))
	}
	if err := c.registerNow(ctx, req.Caller); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	for _, m := range req.Confirmations {
		m.Host, m.Incarnation = req.Caller.Host, req.Caller.Incarnation
		_, err := c.commit(ctx, &coordpb.Command{Actor: req.Caller.GetHost(), Change: &coordpb.Command_ConfirmReplica{ConfirmReplica: m}})
		if err != nil && !fault.Is(err, fault.Fenced) && !fault.Is(err, fault.NotFound) {
			return nil, rpc.ToTwirp(err)
		}
	}
	return &rpc.ConfirmResponse{}, nil
}

// registerNow makes sure that an agent is registered before it is heard: a
// confirmation counts only from the newest incarnation.
func (c *Role) registerNow(ctx context.Context, caller *rpc.Caller) error {
	if c.registered(caller) {
		return nil
	}
	return c.register(ctx, caller)
}

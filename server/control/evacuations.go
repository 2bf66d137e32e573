package control

import (
	"cmp"
	"context"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
)

// Evacuate implements operators.Service.
func (s *operatorsService) Evacuate(ctx context.Context, p *operators.EvacuatePayload) (*operators.EvacuationInfo, error) {
	return s.setEvacuation(ctx, p.Actor, p.FailureDomain, true)
}

// Restore implements operators.Service.
func (s *operatorsService) Restore(ctx context.Context, p *operators.RestorePayload) (*operators.EvacuationInfo, error) {
	return s.setEvacuation(ctx, p.Actor, p.FailureDomain, false)
}

// setEvacuation answers once the change is in force, so that an operator may switch a domain
// off on an answer to its evacuation.
func (s *operatorsService) setEvacuation(ctx context.Context, actor *string, domain string, evacuated bool) (*operators.EvacuationInfo, error) {
	r, err := s.change(ctx, actor, "", setEvacuation(domain, evacuated, ""))
	if err != nil {
		return nil, err
	}
	if err := s.role.awaitInForce(ctx, r.Revision); err != nil {
		return nil, refusal(err)
	}
	if r.Evacuation == nil {
		return &operators.EvacuationInfo{FailureDomain: domain}, nil
	}
	return evacuationInfo(r.Evacuation), nil
}

// Evacuations implements operators.Service.
func (s *operatorsService) Evacuations(ctx context.Context, _ *operators.EvacuationsPayload) (*operators.EvacuationList, error) {
	if err := s.upToDate(ctx); err != nil {
		return nil, err
	}
	list := &operators.EvacuationList{Evacuations: []*operators.EvacuationInfo{}}
	for _, e := range s.role.Evacuations() {
		list.Evacuations = append(list.Evacuations, evacuationInfo(e))
	}
	return list, nil
}

func evacuationInfo(e *coordpb.Evacuation) *operators.EvacuationInfo {
	return &operators.EvacuationInfo{FailureDomain: e.FailureDomain, Evacuated: e.Evacuated, ChangedUnixMs: e.ChangedUnixMs, Actor: e.Actor}
}

// Evacuate implements rpc.Control. The answer comes after the commit: whoever is told so may
// lose any tolerated part of the fleet right after it.
func (c *Role) Evacuate(ctx context.Context, req *rpc.EvacuateRequest) (*rpc.EvacuateResponse, error) {
	r, err := c.commit(ctx, setEvacuation(req.FailureDomain, req.Evacuated, req.Actor))
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	c.logger.Info("evacuation changed", "failure_domain", req.FailureDomain, "evacuated", req.Evacuated, "revision", r.Revision)
	return &rpc.EvacuateResponse{Revision: r.Revision}, nil
}

func setEvacuation(domain string, evacuated bool, actor string) *coordpb.Command {
	return &coordpb.Command{Actor: cmp.Or(actor, defaultActor), Change: &coordpb.Command_SetEvacuation{
		SetEvacuation: &coordpb.SetEvacuation{FailureDomain: domain, Evacuated: evacuated}}}
}

// Evacuations returns the failure domains that are evacuated or were, as this member has
// applied them.
func (c *Role) Evacuations() (rows []*coordpb.Evacuation) {
	c.machine.Read(func(s *state.State) { rows = s.Evacuations() })
	return rows
}

package control

import (
	"context"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// deploymentActor is who adopts deployments in the audit trail: the platform's
// operators have no names of their own on this way.
const deploymentActor = "deployment"

// Adopt implements rpc.Control. The answer comes after the commit: whoever is told
// so may lose any tolerated part of the fleet right after it.
func (c *Role) Adopt(ctx context.Context, req *rpc.AdoptRequest) (*rpc.AdoptResponse, error) {
	adopt, err := rpc.UnpackAdopt(req)
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	if adopt.GetDeployment() == nil {
		return nil, rpc.ToTwirp(fault.New(fault.InvalidRequest, "no deployment was sent"))
	}
	r, err := c.commit(ctx, &coordpb.Command{Actor: deploymentActor, Change: &coordpb.Command_AdoptDeployment{
		AdoptDeployment: adopt}})
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	c.logger.Info("deployment adopted", "asked", adopt.Deployment.Version, "in_force", r.DeploymentVersion, "revision", r.Revision)
	return &rpc.AdoptResponse{Version: r.DeploymentVersion}, nil
}

// Source implements rpc.Control.
func (c *Role) Source(ctx context.Context, _ *rpc.SourceRequest) (*rpc.SourceResponse, error) {
	if err := c.barrier(ctx); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	resp := &rpc.SourceResponse{}
	c.machine.Read(func(s *state.State) {
		source := s.DeploymentSource()
		resp.Source, resp.Packed = source.Bytes, source.Packed
	})
	return resp, nil
}

// Deployment returns the deployment in force as this member has applied it; nil
// before the first. Nobody may change it.
func (c *Role) Deployment() (d *coordpb.Deployment) {
	c.machine.Read(func(s *state.State) { d = s.Deployment() })
	return d
}

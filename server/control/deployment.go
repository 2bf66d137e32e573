package control

import (
	"context"
	"crypto/sha256"
	"fmt"

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
	adopt, err := rpc.DecompressAdopt(req)
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	if adopt.GetDeployment() == nil {
		return nil, rpc.ToTwirp(fault.New(fault.InvalidRequest, "no deployment was sent"))
	}
	version, err := c.adopt(ctx, adopt)
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	return &rpc.AdoptResponse{Version: version}, nil
}

// adopt returns the version in force once the deployment is committed, or a version that
// is not below its own. An operator without an answer sends the same again: while it is
// being committed the call joins the one before, and afterwards nothing is committed anew.
func (c *Role) adopt(ctx context.Context, a *coordpb.AdoptDeployment) (uint64, error) {
	if version := c.inForceVersion(); version >= a.Deployment.Version {
		c.logger.Info("deployment adopted", "asked", a.Deployment.Version, "in_force", version, "before", true)
		return version, nil
	}
	committed := c.adoptions.DoChan(adoptionKey(a), func() (any, error) { return c.commitDeployment(a) })
	select {
	case r := <-committed:
		version, _ := r.Val.(uint64)
		return version, r.Err
	case <-ctx.Done():
		return 0, unknownIfUncommitted(fault.From(ctx.Err()))
	}
}

// adoptionKey tells one deployment from another one under the same version.
func adoptionKey(a *coordpb.AdoptDeployment) string {
	return fmt.Sprintf("%d %x", a.Deployment.Version, sha256.Sum256(a.Source))
}

// commitDeployment goes on when the call that began it ends: others may have joined.
func (c *Role) commitDeployment(a *coordpb.AdoptDeployment) (uint64, error) {
	r, err := c.commit(c.background, &coordpb.Command{Actor: deploymentActor, Change: &coordpb.Command_AdoptDeployment{
		AdoptDeployment: a}})
	if err != nil {
		return 0, err
	}
	c.logger.Info("deployment adopted", "asked", a.Deployment.Version, "in_force", r.DeploymentVersion, "revision", r.Revision)
	return r.DeploymentVersion, nil
}

// inForceVersion is the version that this member has applied, 0 before the first. What is
// applied is committed: a higher one may stand, a lower one never again.
func (c *Role) inForceVersion() uint64 { return c.Deployment().GetVersion() }

// Source implements rpc.Control.
func (c *Role) Source(ctx context.Context, _ *rpc.SourceRequest) (*rpc.SourceResponse, error) {
	if err := c.barrier(ctx); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	resp := &rpc.SourceResponse{}
	c.machine.Read(func(s *state.State) {
		source := s.DeploymentSource()
		resp.Source, resp.Packed = source.Bytes, source.Gzipped
	})
	return resp, nil
}

// Deployment returns the deployment in force as this member has applied it; nil
// before the first. Nobody may change it.
func (c *Role) Deployment() (d *coordpb.Deployment) {
	c.machine.Read(func(s *state.State) { d = s.Deployment() })
	return d
}

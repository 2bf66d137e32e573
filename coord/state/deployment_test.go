package state_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
)

func adopt(version uint64, source string) *coordpb.Command {
	return &coordpb.Command{Change: &coordpb.Command_AdoptDeployment{AdoptDeployment: &coordpb.AdoptDeployment{
		Deployment: &coordpb.Deployment{Version: version}, Source: []byte(source),
	}}}
}

// Two operators adopt deployments concurrently and resend calls without a response.
// In whatever order the calls are committed, every member must hold the highest
// version, send it to followers once, and keep it over a restart.
func TestTheHighestDeploymentIsInForce(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	g.Expect(s.Apply(adopt(4, "four")).DeploymentVersion).To(Equal(uint64(4)))
	at := s.Revision()
	g.Expect(s.Apply(adopt(2, "two")).DeploymentVersion).To(Equal(uint64(4)))
	g.Expect(s.Apply(adopt(4, "not four")).DeploymentVersion).To(Equal(uint64(4)))
	g.Expect(s.Revision()).To(Equal(at), "the view of followers must not change")
	g.Expect(s.View(0).Deployment.Version).To(Equal(uint64(4)))
	g.Expect(s.View(at).Deployment).To(BeNil())
	data, err := s.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	again := state.New()
	g.Expect(again.Restore(data)).To(Succeed())
	g.Expect(string(again.DeploymentSource().Bytes)).To(Equal("four"))
	g.Expect(again.View(at - 1).Deployment.Version).To(Equal(uint64(4)))
}

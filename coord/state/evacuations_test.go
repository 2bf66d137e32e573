package state_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

func evacuate(domain string, out bool, nowUnixMs int64) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: nowUnixMs, Actor: "op", Change: &coordpb.Command_SetEvacuation{
		SetEvacuation: &coordpb.SetEvacuation{FailureDomain: domain, Evacuated: out}}}
}

// Guards against losing an evacuation in a snapshot, and against sending followers a resent
// command as a change.
func TestEvacuationsAreReplicatedOnce(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	g.Expect(s.Apply(evacuate("b", false, 1)).Evacuation).To(BeNil())
	g.Expect(s.Revision()).To(BeZero())
	first := s.Apply(evacuate("a", true, 5))
	at := s.Revision()
	g.Expect(first.Evacuation.Evacuated).To(BeTrue())
	g.Expect(s.Apply(evacuate("a", true, 9)).Evacuation.ChangedUnixMs).To(Equal(int64(5)))
	g.Expect(s.Revision()).To(Equal(at))
	g.Expect(s.View(at).Evacuations).To(BeEmpty())

	data, err := s.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	again := state.New()
	g.Expect(again.Restore(data)).To(Succeed())
	g.Expect(again.Evacuations()).To(HaveLen(1))
	again.Apply(evacuate("a", false, 12))
	restored := again.View(at).Evacuations
	g.Expect(restored).To(HaveLen(1), "the end of an evacuation is a change")
	g.Expect(restored[0].Evacuated).To(BeFalse())
	g.Expect(restored[0].ChangedUnixMs).To(Equal(int64(12)))
	g.Expect(again.Audit(0, 10)).To(HaveLen(4))
}

// Guards against a table that grows with names from outside.
func TestEvacuationsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	for i := range state.MaxEvacuations {
		g.Expect(s.Apply(evacuate(fmt.Sprint("d", i), true, 1)).Kind).To(BeEmpty())
	}
	g.Expect(s.Apply(evacuate("one more", true, 1)).Kind).To(Equal(string(fault.Overloaded)))
	g.Expect(s.Apply(evacuate("", true, 1)).Kind).To(Equal(string(fault.InvalidRequest)))
	g.Expect(s.Apply(evacuate("d0", false, 1)).Kind).To(BeEmpty())
}

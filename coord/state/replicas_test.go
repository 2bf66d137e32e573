package state_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

// fencingNumber returns the current fencing number of a replica, 0 if there is none.
func fencingNumber(s *state.State, model, target string) uint64 {
	for _, r := range s.Replicas() {
		if r.Model == model && r.Target == target {
			return r.Fencing
		}
	}
	return 0
}

var _ = Describe("replica decisions", func() {
	// A target holds 10 GiB of weights. Its agent is unresponsive, so an unload of 4 GiB
	// is decided but not confirmed. If the decision released the memory, a third model
	// would be loaded while the first two are still in memory.
	It("counts a replica until its agent confirms the unload", func() {
		s := configured()
		s.Apply(decide("m1", "t1", true))
		s.Apply(decide("m2", "t1", true))
		Expect(kind(s.Apply(decide("m3", "t1", true)))).To(Equal(fault.NoCapacity))
		s.Apply(decide("m1", "t1", false))
		Expect(kind(s.Apply(decide("m3", "t1", true)))).To(Equal(fault.NoCapacity))
		s.Apply(confirm("m1", "t1", fencingNumber(s, "m1", "t1"), false))
		Expect(kind(s.Apply(decide("m3", "t1", true)))).To(BeEmpty())
	})

	It("applies all decisions or none", func() {
		s := configured()
		c := decide("m1", "t1", true)
		m := c.GetDecideReplicas()
		m.Decisions = append(m.Decisions, &coordpb.ReplicaDecision{Model: "m9", Target: "t1", Load: true})
		Expect(kind(s.Apply(c))).To(Equal(fault.NotFound))
		Expect(s.Replicas()).To(BeEmpty())
	})

	// The agent confirms order 1 after order 2 superseded it. Taken as a confirmation of
	// order 2, it would release the memory of a model that is being loaded again, or
	// route requests to one that is being unloaded.
	It("rejects a confirmation with an old fencing number, and never issues a number twice", func() {
		s := configured()
		s.Apply(decide("m1", "t1", true))
		first := fencingNumber(s, "m1", "t1")
		s.Apply(decide("m1", "t1", false))
		second := fencingNumber(s, "m1", "t1")
		Expect(second).To(BeNumerically(">", first))
		Expect(kind(s.Apply(confirm("m1", "t1", first, true)))).To(Equal(fault.Fenced))
		s.Apply(confirm("m1", "t1", second, false))
		data, _ := s.Snapshot()
		again := state.New()
		Expect(again.Restore(data)).To(Succeed())
		again.Apply(decide("m1", "t1", true))
		Expect(fencingNumber(again, "m1", "t1")).To(BeNumerically(">", second))
	})

	// An agent and its engine restart, and the engine has lost its weights. Entry hosts
	// would still send requests to a replica that the previous process confirmed.
	It("requires a new incarnation of an agent to confirm again, with the same fencing number", func() {
		s := configured()
		s.Apply(register("h1", "i1", "t1"))
		s.Apply(decide("m1", "t1", true))
		n := fencingNumber(s, "m1", "t1")
		s.Apply(confirm("m1", "t1", n, true))
		Expect(s.Replicas()[0].State).To(Equal(coordpb.ReplicaState_REPLICA_STATE_READY))
		s.Apply(register("h1", "i2", "t1"))
		Expect(s.Replicas()[0].State).To(Equal(coordpb.ReplicaState_REPLICA_STATE_LOAD))
		Expect(fencingNumber(s, "m1", "t1")).To(Equal(n))
	})

	It("rejects confirmations and registrations of a superseded incarnation", func() {
		s := configured()
		s.Apply(register("h1", "i1", "t1"))
		s.Apply(register("h1", "i2", "t1"))
		s.Apply(decide("m1", "t1", true))
		late := confirm("m1", "t1", fencingNumber(s, "m1", "t1"), false)
		late.GetConfirmReplica().Host, late.GetConfirmReplica().Incarnation = "h1", "i1"
		Expect(kind(s.Apply(late))).To(Equal(fault.Fenced))
		Expect(s.Replicas()).To(HaveLen(1))
		Expect(kind(s.Apply(register("h1", "i1", "t1")))).To(Equal(fault.Fenced))
		Expect(s.Host("h1", state.RoleAgent).Incarnation).To(Equal("i2"))
	})

	// An operator forgets an entry host and starts it again. If that were taken for the
	// first run on the host, the tokens drawn by the previous run would not be accounted.
	It("keeps the incarnations of a forgotten host, and lets the last one register again", func() {
		s := configured()
		forget := &coordpb.Command{Change: &coordpb.Command_ForgetHost{ForgetHost: &coordpb.ForgetHost{Host: "e1"}}}
		s.Apply(register("e1", "i1", ""))
		s.Apply(register("e1", "i2", ""))
		s.Apply(forget)
		Expect(kind(s.Apply(register("e1", "i1", "")))).To(Equal(fault.Fenced))
		Expect(kind(s.Apply(register("e1", "i2", "")))).To(BeEmpty())
		Expect(s.Host("e1", state.RoleEntry).PastIncarnations).To(Equal([]string{"i1"}))
		s.Apply(forget)
		s.Apply(register("e1", "i3", ""))
		Expect(s.Host("e1", state.RoleEntry).PastIncarnations).To(Equal([]string{"i1", "i2"}))
	})

	It("places nothing on a leaving host, and deletes replicas with their host", func() {
		s := configured()
		s.Apply(register("h1", "i1", "t1"))
		s.Apply(decide("m1", "t1", true))
		s.Apply(&coordpb.Command{Change: &coordpb.Command_DrainHost{DrainHost: &coordpb.DrainHost{Host: "h1", Leaving: true}}})
		Expect(kind(s.Apply(decide("m2", "t1", true)))).To(Equal(fault.Leaving))
		before := s.Revision()
		s.Apply(&coordpb.Command{Change: &coordpb.Command_ForgetHost{ForgetHost: &coordpb.ForgetHost{Host: "h1"}}})
		Expect(s.Replicas()).To(BeEmpty())
		v := s.View(before)
		Expect(v.Tombstones).To(HaveLen(2))
	})
})

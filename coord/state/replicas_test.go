package state_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

// fencingOf returns the newest number of a replica.
func fencingOf(s *state.State, model, target string) uint64 {
	for _, r := range s.Replicas() {
		if r.Model == model && r.Target == target {
			return r.Fencing
		}
	}
	return 0
}

var _ = Describe("replica decisions", func() {
	// A target holds 10 GiB of weights. Its agent is silent, so that an unload of
	// 4 GiB is decided and not confirmed. If the bytes were free at the decision,
	// a third model would be loaded beside the two that are still there.
	It("counts a replica until its agent confirms it gone", func() {
		s := configured()
		s.Apply(decide("m1", "t1", true))
		s.Apply(decide("m2", "t1", true))
		Expect(kind(s.Apply(decide("m3", "t1", true)))).To(Equal(fault.NoCapacity))
		s.Apply(decide("m1", "t1", false))
		Expect(kind(s.Apply(decide("m3", "t1", true)))).To(Equal(fault.NoCapacity))
		s.Apply(confirm("m1", "t1", fencingOf(s, "m1", "t1"), false))
		Expect(kind(s.Apply(decide("m3", "t1", true)))).To(BeEmpty())
	})

	It("decides all or nothing", func() {
		s := configured()
		c := decide("m1", "t1", true)
		m := c.GetDecideReplicas()
		m.Decisions = append(m.Decisions, &coordpb.ReplicaDecision{Model: "m9", Target: "t1", Load: true})
		Expect(kind(s.Apply(c))).To(Equal(fault.NotFound))
		Expect(s.Replicas()).To(BeEmpty())
	})

	// The agent answers an order under number 1 after it was overtaken by number 2:
	// taken for the newer one, a model that is being loaded again would be free to
	// be loaded elsewhere, or one that is going would be routed to.
	It("ignores a confirmation under an old number, and never gives a number twice", func() {
		s := configured()
		s.Apply(decide("m1", "t1", true))
		first := fencingOf(s, "m1", "t1")
		s.Apply(decide("m1", "t1", false))
		second := fencingOf(s, "m1", "t1")
		Expect(second).To(BeNumerically(">", first))
		Expect(kind(s.Apply(confirm("m1", "t1", first, true)))).To(Equal(fault.Fenced))
		s.Apply(confirm("m1", "t1", second, false))
		data, _ := s.Snapshot()
		again := state.New()
		Expect(again.Restore(data)).To(Succeed())
		again.Apply(decide("m1", "t1", true))
		Expect(fencingOf(again, "m1", "t1")).To(BeNumerically(">", second))
	})

	// An agent and its engine restart; the engine is empty. Entry hosts would send
	// requests to a replica that was confirmed by the earlier process.
	It("asks a new incarnation of an agent to confirm again, under the same number", func() {
		s := configured()
		s.Apply(register("h1", "i1", "t1"))
		s.Apply(decide("m1", "t1", true))
		n := fencingOf(s, "m1", "t1")
		s.Apply(confirm("m1", "t1", n, true))
		Expect(s.Replicas()[0].State).To(Equal(coordpb.ReplicaState_REPLICA_STATE_READY))
		s.Apply(register("h1", "i2", "t1"))
		Expect(s.Replicas()[0].State).To(Equal(coordpb.ReplicaState_REPLICA_STATE_LOAD))
		Expect(fencingOf(s, "m1", "t1")).To(Equal(n))
	})

	It("hears no superseded incarnation, and registers none", func() {
		s := configured()
		s.Apply(register("h1", "i1", "t1"))
		s.Apply(register("h1", "i2", "t1"))
		s.Apply(decide("m1", "t1", true))
		late := confirm("m1", "t1", fencingOf(s, "m1", "t1"), false)
		late.GetConfirmReplica().Host, late.GetConfirmReplica().Incarnation = "h1", "i1"
		Expect(kind(s.Apply(late))).To(Equal(fault.Fenced))
		Expect(s.Replicas()).To(HaveLen(1))
		Expect(kind(s.Apply(register("h1", "i1", "t1")))).To(Equal(fault.Fenced))
		Expect(s.Host("h1", state.RoleAgent).Incarnation).To(Equal("i2"))
	})

	// An operator forgets an entry host and then starts it again. Taken for the first
	// run on that host, nobody would ask what the run before it had drawn.
	It("remembers the incarnations of a forgotten host, and lets the last one come back", func() {
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

	It("places nothing on a leaving host, and forgets replicas with their host", func() {
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

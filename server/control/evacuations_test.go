package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
)

// Guards against an evacuation that is acknowledged and then lost, or that a resent or racing
// request undoes: both operators' requests go through different hosts, and the leader changes.
func TestAnEvacuationOutlivesAChangeOfLeader(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		for _, role := range roles {
			_, err := role.Evacuate(background, &rpc.EvacuateRequest{FailureDomain: "a", Evacuated: true, Actor: "op"})
			g.Expect(err).NotTo(HaveOccurred())
		}
		gr.put("dead", address(1))
		gr.elect(2)
		list, err := roles[2].Operators().Evacuations(background, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list.Evacuations).To(HaveLen(1))
		g.Expect(*list.Evacuations[0]).To(And(HaveField("FailureDomain", "a"), HaveField("Evacuated", true), HaveField("Actor", "op")))
		row, err := roles[1].Operators().Restore(background, &operators.RestorePayload{FailureDomain: "a"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(row.Evacuated).To(BeFalse())
		again, err := roles[2].Operators().Restore(background, &operators.RestorePayload{FailureDomain: "a"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.ChangedUnixMs).To(Equal(row.ChangedUnixMs))
	})
}

// Guards against answering an operator while an entry host may still send to the domain.
func TestAnEvacuationIsAnsweredOnceItIsInForce(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		follower := gr.follow(t, "e1", address(2))
		settle(time.Second)
		_, err := roles[0].Operators().Evacuate(background, &operators.EvacuatePayload{FailureDomain: "a"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(follower.Current().Evacuated("a")).To(BeTrue())
	})
}

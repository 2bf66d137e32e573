package node_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
)

var _ = Describe("a group", func() {
	It("of one commits, and keeps everything over a restart", func() {
		g := newGroup(1)
		for i := 1; i <= 250; i++ {
			Expect(g.propose(i).Revision).To(BeEquivalentTo(i))
		}
		h := g.hosts[0]
		before := h.machine.all()
		h.stop()
		h.machine = &register{}
		h.start(h.config(g.first))
		Expect(g.propose(251).Revision).To(BeEquivalentTo(251))
		Expect(h.machine.all()[:250]).To(Equal(before))
	})

	It("of three commits, and followers refuse with the leader's address", func() {
		g := newGroup(3)
		Expect(g.propose(1).Revision).To(BeEquivalentTo(1))
		l := leader(g.hosts...)
		for _, h := range g.others(l) {
			_, err := h.node.Propose(context.Background(), command(2))
			Expect(fault.Is(err, fault.NotLeader)).To(BeTrue())
			Eventually(func() string { return h.node.Status().LeaderAddress }).WithTimeout(patience).Should(Equal(l.member.Address))
			Eventually(h.machine.all).WithTimeout(patience).Should(Equal([]string{"1"}))
		}
		Expect(l.node.Barrier(context.Background())).To(Succeed())
	})
})

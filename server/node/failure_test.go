package node_test

import (
	"context"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/node"
)

func (g *group) agree(want []string, among ...*host) {
	for _, h := range among {
		Eventually(h.machine.all).WithTimeout(patience).Should(Equal(want), "member %d", h.member.Id)
	}
}

func numbers(through int) []string {
	var out []string
	for i := 1; i <= through; i++ {
		out = append(out, strconv.Itoa(i))
	}
	return out
}

var _ = Describe("a group of three", func() {
	// Operators change the configuration some hundred times, then all control
	// hosts are restarted at once. A change that is gone afterwards, or applied
	// twice, shows as a setting that reverts.
	It("keeps 500 commands over a restart of all members", func() {
		g := newGroup(3)
		for i := 1; i <= 500; i++ {
			g.propose(i)
		}
		for _, h := range g.hosts {
			h.stop()
			h.machine = &register{}
		}
		for _, h := range g.hosts {
			h.start(h.config(g.first))
		}
		Expect(g.propose(501).Revision).To(BeEquivalentTo(501))
		g.agree(numbers(501), g.hosts...)
	})

	// Guards against a log of few but large commands that fills a small host's disk.
	It("takes a snapshot once the log has grown by many bytes, however few commands they are", func() {
		h := newGroup(1).hosts[0]
		h.stop()
		c := h.config([]*coordpb.Member{h.member})
		c.SnapshotBytes = 100 << 10
		h.start(c)
		taken := func() int {
			h.machine.mu.Lock()
			defer h.machine.mu.Unlock()
			return h.machine.snapshots
		}
		Eventually(func() bool { return h.node.Status().Leading }).WithTimeout(patience).Should(BeTrue())
		before := taken()
		for range 10 {
			_, err := h.node.Propose(context.Background(), &coordpb.Command{Actor: randomText(30 << 10)})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(taken() - before).To(BeNumerically(">=", 2))
	})

	// The leader's host dies while operators submit. The others elect a leader
	// among them; what was acknowledged before is still there, and the old leader
	// catches up when it returns.
	It("loses its leader and goes on", func() {
		g := newGroup(3)
		g.propose(1)
		old := leader(g.hosts...)
		old.setCut(true)
		rest := g.others(old)
		g.propose(2, rest...)
		Eventually(func() bool { return old.node.Status().Leading }).WithTimeout(patience).Should(BeFalse())
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := old.node.Propose(ctx, command(99))
		Expect(fault.Is(err, fault.NotLeader) || fault.Is(err, fault.NoQuorum)).To(BeTrue(), "%v", err)
		old.setCut(false)
		g.propose(3)
		g.agree([]string{"1", "2", "3"}, g.hosts...)
	})

	// A control host is cut off for long, then comes back. Without pre-vote it
	// would return with a high term and depose a leader that serves well. While
	// cut off, it must not answer from its old state.
	It("takes a member back that was cut off, without an election", func() {
		g := newGroup(3)
		g.propose(1)
		g.agree(numbers(1), g.hosts...)
		l := leader(g.hosts...)
		away := g.others(l)[0]
		away.setCut(true)
		for i := 2; i <= 300; i++ { // far enough that it needs a snapshot
			g.propose(i)
		}
		Eventually(func() uint64 { return away.node.Status().Leader }).WithTimeout(patience).Should(BeZero())
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		Expect(away.node.Barrier(ctx)).NotTo(Succeed())
		Expect(away.machine.all()).To(HaveLen(1))

		term := l.node.Status().Term
		Expect(away.node.Status().Term).To(Equal(term))
		away.setCut(false)
		g.agree(numbers(300), away)
		Expect(l.node.Status().Term).To(Equal(term))
		Expect(l.node.Status().Leading).To(BeTrue())
	})

	It("hands leadership over at a planned stop", func() {
		g := newGroup(3)
		g.propose(1)
		l := leader(g.hosts...)
		term := l.node.Status().Term
		l.stop()
		next := leader(g.others(l)...)
		// One term later: the successor stood on the leader's word, and no trial failed.
		Expect(next.node.Status().Term).To(Equal(term + 1))
	})

	// A host lost its disk and somebody starts it as a group of its own, under its
	// old id and address. It must neither stop the others, which call that address,
	// nor have its word counted by them.
	It("is not disturbed by a process of another group at a member's address", func() {
		g := newGroup(3)
		g.propose(1)
		l := leader(g.hosts...)
		astray := g.others(l)[0]
		astray.stop()
		Expect(os.RemoveAll(astray.folder)).To(Succeed())
		astray.machine = &register{}
		astray.start(astray.config([]*coordpb.Member{astray.member}))
		leader(astray)
		rest := g.others(astray)
		for i := 2; i <= 20; i++ {
			g.propose(i, rest...)
		}
		for _, h := range rest {
			Expect(h.fatal).NotTo(Receive())
		}
		Expect(l.node.Status().Matched[astray.member.Id]).To(BeNumerically("<", l.node.Status().Commit))
	})

	// A host's disk is replaced and the host is started again as before. It would
	// vote a second time in a term that it has voted in. It must stop with a
	// message that says what to do; under a new id it joins and gets its vote.
	It("refuses a member that lost its disk, and takes it under a new id", func() {
		g := newGroup(3)
		for i := 1; i <= 150; i++ {
			g.propose(i)
		}
		l := leader(g.hosts...)
		lost := g.others(l)[0]
		lost.stop()
		Expect(os.RemoveAll(lost.folder)).To(Succeed())
		lost.machine = &register{}
		lost.start(lost.config(g.first))
		var err error
		Eventually(lost.fatal).WithTimeout(patience).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("start it with a new id and join")))
		Expect(lost.machine.all()).To(BeEmpty())

		lost.stop()
		Expect(os.RemoveAll(lost.folder)).To(Succeed())
		l = leader(g.others(lost)...)
		Expect(l.node.RemoveMember(context.Background(), lost.member.Id)).To(Succeed())
		lost.member = &coordpb.Member{Id: 4, Address: lost.member.Address}
		Expect(l.node.AddMember(context.Background(), lost.member)).To(Succeed())
		c := lost.config(nil)
		c.Join = true
		lost.start(c)
		// A vote that only the leader has in its log is not a repair yet.
		for _, h := range []*host{l, lost} {
			Eventually(func() bool { return votes(h.node.Status(), 4) }).WithTimeout(patience).Should(BeTrue())
		}
		g.agree(numbers(150), lost)

		// The second host lost right after the repair: the repaired one counts.
		second := g.others(lost)[0]
		second.setCut(true)
		g.propose(151, g.others(second)...)
		g.agree(numbers(151), lost)
	})
})

func votes(s node.Status, id uint64) bool {
	for _, m := range s.Members {
		if m.Id == id {
			return !m.Learner && m.Disk != ""
		}
	}
	return false
}

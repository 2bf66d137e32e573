package node_test

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/node"
)

// commitWithin bounds the time without a commit while a majority's disks work: a handover, or
// an election with a repetition.
const commitWithin = 3 * 2 * electionTimeout

// returnWithin bounds the time until all members have all commands again.
const returnWithin = 20 * time.Second

// describe returns the status of each member.
func (g *diskGroup) describe() string {
	var out strings.Builder
	for i, h := range g.hosts {
		fault, _ := g.disks[i].get()
		fmt.Fprintf(&out, "member %d: disk fault %d", h.member.Id, fault)
		if h.node != nil {
			s := h.node.Status()
			fmt.Fprintf(&out, ", term %d, leader %d, commit %d, applied %d, matched %v", s.Term, s.Leader, s.Commit, s.Applied, s.Matched)
		}
		out.WriteByte('\n')
	}
	return out.String()
}

// leaderAmong waits for a leader among these members and opens failed ones meanwhile.
func (g *diskGroup) leaderAmong(among ...*host) *host {
	GinkgoHelper()
	var found *host
	Eventually(func() *host {
		g.reopenFailed()
		for _, h := range among {
			if h.node != nil && h.node.Status().Leading {
				found = h
			}
		}
		return found
	}).WithTimeout(returnWithin).ShouldNot(BeNil(), g.describe)
	return found
}

// tryPropose proposes i once at whichever member leads, and reports whether it was acknowledged.
func (g *diskGroup) tryPropose(i int, timeout time.Duration) bool {
	for _, h := range g.hosts {
		if h.node == nil || !h.node.Status().Leading {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := h.node.Propose(ctx, command(i))
		return err == nil
	}
	time.Sleep(testTick / 4)
	return false
}

// proposeUntilAcknowledged repeats i until it is acknowledged and returns how long that took.
func (g *diskGroup) proposeUntilAcknowledged(i int) time.Duration {
	GinkgoHelper()
	start := time.Now()
	for !g.tryPropose(i, 2*electionTimeout) {
		Expect(time.Since(start)).To(BeNumerically("<", patience), "command %d", i)
		g.reopenFailed()
	}
	return time.Since(start)
}

// expectAll expects all commands up to last in each member's state, in the same order. A
// command whose acknowledgement was lost may be there twice.
func (g *diskGroup) expectAll(last int) {
	GinkgoHelper()
	for i, h := range g.hosts {
		Eventually(func() []string {
			g.reopenFailed()
			return slices.Compact(h.machine.all())
		}).WithTimeout(returnWithin).Should(Equal(numbers(last)), func() string { return fmt.Sprintf("member %d\n%s", i+1, g.describe()) })
	}
	for _, h := range g.hosts[1:] {
		Expect(h.machine.all()).To(Equal(g.hosts[0].machine.all()))
	}
}

var _ = Describe("a leader whose disk", func() {
	// Guards against commits that wait for a leader whose disk does not answer, while a majority's
	// disks work.
	It("hangs keeps committing, and hands leadership over", func() {
		g := newDiskGroup(3, nil)
		DeferCleanup(g.close)
		for i := 1; i <= 5; i++ {
			g.proposeUntilAcknowledged(i)
		}
		l := leader(g.hosts...)
		disk := g.diskOf(l)
		disk.set(hangs)
		longest := time.Duration(0)
		last := 5
		for until := time.Now().Add(10 * electionTimeout); time.Now().Before(until); {
			last++
			longest = max(longest, g.proposeUntilAcknowledged(last))
			time.Sleep(testTick)
		}
		AddReportEntry("longest wait for a commit", longest.String())
		Expect(leader(g.others(l)...).node.Status().Leader).NotTo(Equal(l.member.Id))
		Expect(longest).To(BeNumerically("<", 2*electionTimeout))
		disk.set(healthy)
		g.expectAll(last)
	})

	// Guards against an election timeout without a leader after the leader's disk failed.
	It("fails hands leadership over before it stops", func() {
		g := newDiskGroup(3, nil)
		DeferCleanup(g.close)
		g.proposeUntilAcknowledged(1)
		for round := range 5 {
			l := leader(g.hosts...)
			term := l.node.Status().Term
			g.diskOf(l).set(refusesAll)
			longest := g.proposeUntilAcknowledged(2 + round)
			AddReportEntry("longest wait for a commit", longest.String())
			// One term later: the successor was named by the leader, and no election failed.
			Expect(leader(g.others(l)...).node.Status().Term).To(Equal(term + 1))
			Expect(longest).To(BeNumerically("<", electionTimeout))
			Eventually(func() int { g.reopenFailed(); return g.diskOf(l).refusedChanges() }).WithTimeout(patience).Should(BeNumerically(">", 0))
			g.diskOf(l).set(healthy)
			g.expectAll(2 + round)
		}
	})
})

var _ = Describe("a member whose disk hangs", func() {
	// Guards against a process that cannot end until a hanging disk answers.
	It("can be closed", func() {
		g := newDiskGroup(3, nil)
		DeferCleanup(g.close)
		g.proposeUntilAcknowledged(1)
		l := leader(g.hosts...)
		g.diskOf(l).set(hangs)
		g.tryPropose(2, electionTimeout)
		closed := make(chan error, 1)
		hanging := l.node
		l.node = nil
		l.setHandler(nil)
		go func() { closed <- hanging.Close() }()
		Eventually(closed).WithTimeout(10 * time.Second).Should(Receive(MatchError(ContainSubstring("did not answer"))))
		g.diskOf(l).set(healthy)
		g.proposeUntilAcknowledged(3)
	})
})

var _ = Describe("members whose disks fail one after the other", func() {
	for _, count := range []int{3, 5} {
		for seed := range int64(3) {
			// Guards against a group that stops, forgets an acknowledged command or stays without one of
			// its members after disk failures of a minority at a time.
			It(fmt.Sprintf("all return and keep what was acknowledged: %d members, seed %d", count, seed), func() {
				random := rand.New(rand.NewSource(seed))
				g := newDiskGroup(count, func(c *node.Config) { c.SnapshotEvery = 20 })
				DeferCleanup(g.close)
				g.proposeUntilAcknowledged(1) // a group forms while all its members work
				g.expectAll(1)
				last, longest := 1, time.Duration(0)
				for range 8 {
					failing := g.failSome(random)
					until := time.Now().Add(time.Duration(random.Intn(6)) * electionTimeout)
					for more := 3 + random.Intn(20); more > 0 || time.Now().Before(until); more-- {
						last++
						longest = max(longest, g.proposeUntilAcknowledged(last))
						g.reopenFailed()
						time.Sleep(testTick / 4)
					}
					for _, i := range failing {
						g.disks[i].set(healthy)
					}
					g.expectAll(last) // a majority's disks work in the next phase only then
				}
				AddReportEntry("longest wait for a commit", longest.String())
				g.expectAll(last)
				g.losePower()
				last++
				g.proposeUntilAcknowledged(last)
				g.expectAll(last)
				Expect(longest).To(BeNumerically("<", commitWithin))
			})
		}
	}
})

var _ = Describe("a member that catches up", func() {
	const large = 40 << 10 // bytes of a command: a snapshot takes several chunks
	fill := func(g *diskGroup, from, to int) {
		for i := from; i <= to; i++ {
			g.proposeUntilAcknowledged(i)
			l := leader(g.hosts...)
			_, err := l.node.Propose(context.Background(), &coordpb.Command{Actor: randomText(large / 2)})
			Expect(err).NotTo(HaveOccurred())
		}
	}
	expectSame := func(g *diskGroup) {
		GinkgoHelper()
		Eventually(func() bool {
			g.reopenFailed()
			for _, h := range g.hosts[1:] {
				if !slices.Equal(h.machine.all(), g.hosts[0].machine.all()) {
					return false
				}
			}
			return true
		}).WithTimeout(returnWithin).Should(BeTrue(), g.describe)
	}

	for _, fault := range []diskFault{refusesAll, refusesSyncs, hangs} {
		// Guards against a snapshot that is installed in part, or never, after a disk failure of the
		// member that receives it or of the one that sends it.
		It(fmt.Sprintf("installs a snapshot in spite of disk fault %d at both ends", fault), func() {
			g := newDiskGroup(3, func(c *node.Config) { c.SnapshotEvery = 10 })
			DeferCleanup(g.close)
			g.proposeUntilAcknowledged(1)
			g.expectAll(1)
			lagging := g.others(leader(g.hosts...))[0]
			lagging.setCut(true)
			fill(g, 2, 40)
			for range 3 {
				sender := g.leaderAmong(g.others(lagging)...)
				g.diskOf(lagging).set(fault)
				lagging.setCut(false)
				time.Sleep(2 * testTick)
				g.diskOf(sender).set(fault)
				time.Sleep(2 * testTick)
				g.reopenFailed()
				g.diskOf(sender).set(healthy)
				g.diskOf(lagging).set(healthy)
			}
			g.proposeUntilAcknowledged(41)
			expectSame(g)
			g.losePower()
			g.proposeUntilAcknowledged(42)
			expectSame(g)
			for i := 1; i <= 42; i++ {
				Expect(lagging.machine.all()).To(ContainElement(strconv.Itoa(i)))
			}
		})
	}

	// Guards against a learner that never gets its vote, or gets it without its log, because its disk
	// or the leader's failed while it caught up.
	It("is a learner and gets its vote once its disk works", func() {
		g := newDiskGroup(3, func(c *node.Config) { c.SnapshotEvery = 10 })
		DeferCleanup(g.close)
		fill(g, 1, 30)
		g.add(newHost(4))
		learner := g.hosts[3]
		learner.folder = g.hosts[0].folder
		Expect(leader(g.hosts[:3]...).node.AddMember(context.Background(), learner.member)).To(Succeed())
		Expect(g.open(3)).To(Succeed())
		g.disks[3].set(refusesSyncs)
		l := leader(g.hosts[:3]...)
		g.diskOf(l).set(refusesAll)
		g.proposeUntilAcknowledged(31)
		Consistently(func() bool { return votes(leader(g.others(l)...).node.Status(), 4) }).WithTimeout(2 * electionTimeout).Should(BeFalse())
		g.diskOf(l).set(healthy)
		g.disks[3].set(healthy)
		Eventually(func() bool {
			g.reopenFailed()
			return votes(g.leaderAmong(g.hosts...).node.Status(), 4)
		}).WithTimeout(returnWithin).Should(BeTrue(), g.describe)
		g.losePower()
		g.proposeUntilAcknowledged(32)
		expectSame(g)
	})
})

// failSome lets the disks of a random minority fail in random ways, and returns which.
func (g *diskGroup) failSome(random *rand.Rand) []int {
	failing := random.Perm(len(g.hosts))[:1+random.Intn((len(g.hosts)-1)/2)]
	for _, i := range failing {
		g.disks[i].set(1 + diskFault(random.Intn(int(faultKinds)-1)))
	}
	return failing
}

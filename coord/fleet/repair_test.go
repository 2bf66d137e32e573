package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fleet"
)

var _ = Describe("the repair of the control group", func() {
	member := func(id uint64, address string, silent time.Duration) fleet.Member {
		return fleet.Member{ID: id, Address: address, Voter: true, Silent: silent}
	}
	group := func(silent ...time.Duration) (out []fleet.Member) {
		for i, s := range silent {
			out = append(out, member(uint64(i+1), string(rune('a'+i)), s))
		}
		return out
	}

	It("removes nobody if all members answer or the tolerated number is silent", func() {
		_, _, ok := fleet.MemberToRemove(group(0, 0, 0), 1)
		Expect(ok).To(BeFalse())
		_, _, ok = fleet.MemberToRemove(group(0, 0, time.Hour), 1)
		Expect(ok).To(BeFalse())
	})

	// Guards against a lost majority: if a replaced member still counts and one more host
	// is lost, 2 of 4 voters are no majority.
	It("removes a silent member once another has replaced it", func() {
		id, _, ok := fleet.MemberToRemove(group(0, 0, 2*time.Second, 0), 1)
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(uint64(3)))
	})

	It("does not count a learner as a replacement", func() {
		g := group(0, 0, 2*time.Second, 0)
		g[3].Voter = false
		_, _, ok := fleet.MemberToRemove(g, 1)
		Expect(ok).To(BeFalse())
	})

	// A host that returns with an empty disk joins as a new member under its old address;
	// its former member can never answer again.
	It("removes the former member of a host that lost its disk", func() {
		g := group(0, 0, 2*time.Second)
		g = append(g, fleet.Member{ID: 9, Address: "c"})
		id, _, ok := fleet.MemberToRemove(g, 1)
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal(uint64(3)))
	})

	It("never leaves fewer voters than the tolerated failures need", func() {
		for n := 3; n <= 8; n++ {
			g := group(make([]time.Duration, n)...)
			g[0].Silent = time.Hour
			_, _, ok := fleet.MemberToRemove(g, 2)
			Expect(ok).To(Equal(n-1 >= 5), "with %d members", n)
		}
	})
})

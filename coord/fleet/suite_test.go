package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

var _ = Describe("subscribers", func() {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	entry := fleet.ID{Host: "e1", Role: "entry", Incarnation: "i1"}
	table := func() *fleet.Subscribers { return fleet.NewSubscribers(at(3)) }

	// An operator withdraws a key. One entry host was cut off a moment ago and
	// still serves by its lease, with the key in its view. Told "withdrawn" now,
	// the operator would be told too early.
	It("calls a revision in force once each live lease has seen it or has lapsed", func() {
		s := table()
		s.Seen(entry, 6, at(4))
		s.Grant(entry, at(7))
		Expect(s.InForce(6, at(5))).To(BeTrue())
		Expect(s.InForce(7, at(5))).To(BeFalse())
		Expect(s.InForce(7, at(7))).To(BeTrue())
		s.Grant(entry, at(9))
		s.Seen(entry, 7, at(8))
		Expect(s.InForce(7, at(8))).To(BeTrue())
	})

	// A control process restarts and has forgotten which leases it granted.
	It("says nothing before the leases of an earlier start have lapsed", func() {
		s := table()
		Expect(s.InForce(1, at(2))).To(BeFalse())
		Expect(s.InForce(1, at(3))).To(BeTrue())
	})

	// An entry host is frozen and its process restarted elsewhere under the same
	// name; the frozen one wakes up within its lease.
	It("counts the lease of a superseded incarnation until it lapses", func() {
		s := table()
		s.Seen(entry, 6, at(4))
		s.Grant(entry, at(7))
		next := entry
		next.Incarnation = "i2"
		s.Seen(next, 8, at(5))
		s.Grant(next, at(8))
		Expect(s.InForce(8, at(6))).To(BeFalse())
		Expect(s.InForce(8, at(7))).To(BeTrue())
	})

	It("never shortens a lease, nor takes an acknowledgement back, nor forgets a live lease", func() {
		s := table()
		s.Seen(entry, 6, at(4))
		s.Seen(entry, 5, at(5))
		s.Grant(entry, at(9))
		s.Grant(entry, at(7))
		Expect(s.List()[0].Acknowledged).To(Equal(uint64(6)))
		s.Prune(at(8), at(8))
		Expect(s.InForce(7, at(8))).To(BeFalse())
		s.Prune(at(9), at(9))
		Expect(s.List()).To(BeEmpty())
	})
})

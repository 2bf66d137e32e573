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
	entry := fleet.SubscriberID{Host: "e1", Role: "entry", Incarnation: "i1"}
	table := func() *fleet.Subscribers { return fleet.NewSubscribers(at(3)) }

	// Guards against a key reported as withdrawn while an entry host that was just cut
	// off by a network partition still accepts it under its lease.
	It("reports a revision in force once each live lease has acknowledged it or expired", func() {
		s := table()
		s.RecordPoll(entry, 6, at(4))
		s.RecordLease(entry, at(7))
		Expect(s.InForce(6, at(5))).To(BeTrue())
		Expect(s.InForce(7, at(5))).To(BeFalse())
		Expect(s.InForce(7, at(7))).To(BeTrue())
		s.RecordLease(entry, at(9))
		s.RecordPoll(entry, 7, at(8))
		Expect(s.InForce(7, at(8))).To(BeTrue())
	})

	// Guards against a restarted control process that ignores the leases granted before
	// its restart: they are not in its table.
	It("reports no revision in force before the leases of an earlier start have expired", func() {
		s := table()
		Expect(s.InForce(1, at(2))).To(BeFalse())
		Expect(s.InForce(1, at(3))).To(BeTrue())
	})

	// Guards against a frozen process that resumes within its lease after it was
	// restarted on another machine under the same host name.
	It("counts the lease of a superseded incarnation until it expires", func() {
		s := table()
		s.RecordPoll(entry, 6, at(4))
		s.RecordLease(entry, at(7))
		next := entry
		next.Incarnation = "i2"
		s.RecordPoll(next, 8, at(5))
		s.RecordLease(next, at(8))
		Expect(s.InForce(8, at(6))).To(BeFalse())
		Expect(s.InForce(8, at(7))).To(BeTrue())
	})

	It("never shortens a lease, lowers an acknowledgement or removes a live lease", func() {
		s := table()
		s.RecordPoll(entry, 6, at(4))
		s.RecordPoll(entry, 5, at(5))
		s.RecordLease(entry, at(9))
		s.RecordLease(entry, at(7))
		Expect(s.List()[0].Acknowledged).To(Equal(uint64(6)))
		s.Prune(at(8), at(8))
		Expect(s.InForce(7, at(8))).To(BeFalse())
		s.Prune(at(9), at(9))
		Expect(s.List()).To(BeEmpty())
	})
})

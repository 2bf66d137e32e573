package state_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

func strike(now int64, fingerprint, attempt string) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: now, Change: &coordpb.Command_RecordStrike{RecordStrike: &coordpb.RecordStrike{
		Workspace: "w1", Fingerprint: []byte(fingerprint), Attempt: attempt}}}
}

func acquire(now int64, holder string, until int64) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: now, Change: &coordpb.Command_AcquireLease{AcquireLease: &coordpb.AcquireLease{
		Name: "l", Holder: holder, ExpiresUnixMs: until}}}
}

func expire(now int64) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: now, Change: &coordpb.Command_Expire{Expire: &coordpb.Expire{}}}
}

var _ = Describe("keys", func() {
	It("requires a configured workspace, and returns the first key to a resend", func() {
		s := configured()
		Expect(kind(s.Apply(giveKey("c0", "k0", "nobody")))).To(Equal(fault.NotFound))
		Expect(s.Apply(giveKey("c1", "k1", "w1")).Key.KeyId).To(Equal("k1"))
		Expect(s.Apply(giveKey("c1", "k2", "w1")).Key.KeyId).To(Equal("k1"))
		Expect(kind(s.Apply(giveKey("c1", "k3", "w2")))).To(Equal(fault.KeyReused))
		Expect(s.Keys()).To(HaveLen(1))
	})

	It("withdraws permanently and drops only the oldest withdrawn keys", func() {
		s := configured()
		for i := range state.MaxWithdrawnKeys + 1 {
			id := fmt.Sprint(i)
			s.Apply(giveKey("", id, "w1"))
			s.Apply(withdrawKey(id))
		}
		Expect(s.Keys()).To(HaveLen(state.MaxWithdrawnKeys))
		Expect(kind(s.Apply(withdrawKey("0")))).To(Equal(fault.NotFound))
		before := s.Revision()
		Expect(s.Apply(withdrawKey("1")).Key.Withdrawn).To(BeTrue())
		Expect(s.Revision()).To(Equal(before))
	})
})

var _ = Describe("strikes", func() {
	// The agent, the entry host and a resend report the same crash. If each report
	// counted, a request would be rejected after its first crash, which may have been
	// the fault of the target.
	It("counts each attempt once, up to the limit, and expires", func() {
		s := configured()
		Expect(s.Apply(strike(1, "f", "a1")).Strikes).To(Equal(uint32(1)))
		Expect(s.Apply(strike(2, "f", "a1")).Strikes).To(Equal(uint32(1)))
		Expect(s.Apply(strike(3, "f", "a2")).Strikes).To(Equal(uint32(state.StrikeLimit)))
		before := s.Revision()
		s.Apply(strike(4, "f", "a3"))
		Expect(s.Revision()).To(Equal(before))
		s.Apply(expire(3 + state.StrikeRetention.Milliseconds()))
		Expect(s.View(before).Tombstones).To(HaveLen(1))
		Expect(s.Apply(strike(3+state.StrikeRetention.Milliseconds(), "f", "a4")).Strikes).To(Equal(uint32(1)))
	})

	It("lets no workspace evict the strikes of another", func() {
		s := configured()
		other := strike(1, "theirs", "a")
		other.GetRecordStrike().Workspace = "w2"
		s.Apply(other)
		for i := range state.MaxStrikesPerWorkspace + 10 {
			s.Apply(strike(int64(2+i), fmt.Sprint(i), "a"))
		}
		rows := s.View(0).Strikes
		Expect(rows).To(HaveLen(state.MaxStrikesPerWorkspace + 1))
		Expect(rows[len(rows)-1].Workspace).To(Equal("w2"))
	})
})

var _ = Describe("leases", func() {
	It("grants a lease to another holder only after expiry, with a higher epoch", func() {
		s := state.New()
		Expect(s.Apply(acquire(1, "a", 10)).Lease.Epoch).To(Equal(uint64(1)))
		Expect(kind(s.Apply(acquire(9, "b", 20)))).To(Equal(fault.Conflict))
		Expect(s.Apply(acquire(9, "a", 20)).Lease.Epoch).To(Equal(uint64(1)))
		Expect(s.Apply(acquire(20, "b", 30)).Lease.Epoch).To(Equal(uint64(2)))
		Expect(s.Apply(acquire(30, "b", 40)).Lease.Epoch).To(Equal(uint64(3)))
	})
})

var _ = Describe("the audit trail", func() {
	It("is bounded and continues its sequence numbers", func() {
		s := configured()
		for range state.MaxAuditRecords {
			s.Apply(submit("late", 0, []byte("x")))
			s.Apply(withdrawKey("none"))
		}
		records := s.Audit(0, 2*state.MaxAuditRecords)
		Expect(records).To(HaveLen(state.MaxAuditRecords))
		last := records[len(records)-1]
		Expect(last.Sequence).To(Equal(uint64(state.MaxAuditRecords + 2)))
		Expect(last.Outcome).To(Equal("not_found"))
	})
})

var _ = Describe("snapshots", func() {
	It("rejects an unknown version and corrupt bytes, and changes nothing", func() {
		s := configured()
		newer, err := proto.Marshal(&coordpb.StateSnapshot{Version: state.SnapshotVersion + 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Restore(newer)).To(MatchError(ContainSubstring("version 2")))
		Expect(s.Restore([]byte("garbage"))).NotTo(Succeed())
		Expect(s.ConfigurationRevision()).To(Equal(uint64(1)))
	})

	// All control disks are lost and a new group starts from an older backup. Agents and
	// followers hold orders and views from after the backup. They would mistake equal
	// fencing numbers for the same orders, and would ignore lower revisions.
	It("starts from a backup with counters above every number that may be in use", func() {
		s := configured()
		s.Apply(decide("m1", "t1", true))
		data, _ := s.Snapshot()
		backup := state.EncodeBackup(data)
		s.Apply(decide("m2", "t2", true))
		s.Apply(submit("lost", 1, questionnaire("lost")))
		first, err := state.SnapshotFromBackup(backup)
		Expect(err).NotTo(HaveOccurred())
		fresh := state.New()
		Expect(fresh.Restore(first)).To(Succeed())
		Expect(fresh.Revision()).To(BeNumerically(">", s.Revision()))
		Expect(fresh.ConfigurationRevision()).To(BeNumerically(">", s.ConfigurationRevision()))
		Expect(fresh.View(s.Revision()).Since).To(BeZero())
		fresh.Apply(decide("m2", "t2", true))
		Expect(fencingNumber(fresh, "m2", "t2")).To(BeNumerically(">", fencingNumber(s, "m2", "t2")))
		backup[len(backup)-1] ^= 1
		_, err = state.SnapshotFromBackup(backup)
		Expect(err).To(MatchError(ContainSubstring("checksum")))
	})
})

var _ = Describe("views", func() {
	It("returns a full view to a follower older than the tombstones", func() {
		s := configured()
		s.Apply(giveKey("", "k", "w1"))
		behind := s.Revision()
		s.Apply(register("h0", "i", ""))
		for i := range state.MaxTombstones + 1 {
			host := fmt.Sprintf("h%d", i+1)
			s.Apply(register(host, "i", ""))
			s.Apply(&coordpb.Command{Change: &coordpb.Command_ForgetHost{ForgetHost: &coordpb.ForgetHost{Host: host}}})
		}
		v := s.View(behind)
		Expect(v.Since).To(BeZero())
		Expect(v.Keys).To(HaveLen(1))
		Expect(v.Questionnaire).NotTo(BeEmpty())
		recent := s.View(s.Revision() - 1)
		Expect(recent.Since).To(Equal(s.Revision() - 1))
		Expect(recent.Questionnaire).To(BeEmpty())
	})
})

var _ = Describe("rows", func() {
	// A view is being sent to a follower while a command changes one of its rows. If the
	// row were modified in place, the follower would receive neither the old nor the new
	// row.
	It("does not modify rows returned earlier", func() {
		s := configured()
		s.Apply(giveKey("", "k", "w1"))
		s.Apply(register("h1", "i1", "t1"))
		s.Apply(decide("m1", "t1", true))
		s.Apply(strike(1, "f", "a1"))
		given := s.View(0)
		before := proto.Clone(given)
		s.Apply(withdrawKey("k"))
		s.Apply(confirm("m1", "t1", fencingNumber(s, "m1", "t1"), true))
		s.Apply(&coordpb.Command{Change: &coordpb.Command_DrainHost{DrainHost: &coordpb.DrainHost{Host: "h1", Leaving: true}}})
		s.Apply(decide("m1", "t1", false))
		s.Apply(strike(2, "f", "a2"))
		Expect(proto.Equal(given, before)).To(BeTrue())
	})
})

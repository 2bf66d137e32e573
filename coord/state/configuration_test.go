package state_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

var _ = Describe("submissions", func() {
	// Two operators edit revision 1 concurrently and submit through different control
	// hosts. If the later submission in the log were also accepted, the first change
	// would be lost although it was acknowledged.
	It("accepts one of two concurrent submissions and names it in the error of the other", func() {
		s := configured()
		Expect(kind(s.Apply(submit("alice", 1, questionnaire("alice"))))).To(BeEmpty())
		lost := s.Apply(submit("bob", 1, questionnaire("bob")))
		Expect(kind(lost)).To(Equal(fault.Conflict))
		Expect(lost.Message).To(ContainSubstring(`revision 2 is in force, accepted as submission "alice"`))
		Expect(s.ConfigurationRevision()).To(Equal(uint64(2)))
		Expect(string(s.Questionnaire())).To(ContainSubstring("alice"))
	})

	// The response to a submission is lost. The operator resends it through another
	// host, after the configuration changed or the control group restarted.
	It("returns the first outcome to a resend, accepted or rejected, also after a restore", func() {
		s := configured()
		s.Apply(submit("alice", 1, questionnaire("alice")))
		s.Apply(submit("bob", 1, questionnaire("bob")))
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		again := state.New()
		Expect(again.Restore(data)).To(Succeed())
		records := len(again.Audit(0, 100))
		r := again.Apply(submit("first", 0, questionnaire("first")))
		Expect(kind(r)).To(BeEmpty())
		Expect(r.Submission.Revision).To(Equal(uint64(1)))
		Expect(kind(again.Apply(submit("bob", 1, questionnaire("bob"))))).To(Equal(fault.Conflict))
		Expect(again.ConfigurationRevision()).To(Equal(uint64(2)))
		Expect(again.Audit(0, 100)).To(HaveLen(records))
	})

	It("rejects a reused id with another text, and an invalid text, and changes nothing", func() {
		s := configured()
		Expect(kind(s.Apply(submit("first", 0, questionnaire("other"))))).To(Equal(fault.KeyReused))
		Expect(kind(s.Apply(submit("bad", 1, []byte("deployment: ["))))).To(Equal(fault.InvalidRequest))
		Expect(s.ConfigurationRevision()).To(Equal(uint64(1)))
		Expect(s.Revision()).To(Equal(uint64(1)))
	})

	It("writes an audit record of acceptance and rejection", func() {
		s := configured()
		s.Apply(submit("bob", 0, questionnaire("bob")))
		records := s.Audit(0, 100)
		Expect(records).To(HaveLen(2))
		Expect(records[0].Outcome).To(Equal("ok"))
		Expect(records[0].ToRevision).To(Equal(uint64(1)))
		Expect(records[1].Outcome).To(Equal("conflict"))
		Expect(records[1].Actor).To(Equal("op"))
	})
})

package state_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

var _ = Describe("submissions", func() {
	// Two operators edit revision 1 at the same time and submit through different
	// control hosts. If the later one in the log were accepted too, the first
	// operator's change would vanish although it was acknowledged.
	It("accepts one of two racing submissions and names it to the other", func() {
		s := configured()
		Expect(kind(s.Apply(submit("alice", 1, questionnaire("alice"))))).To(BeEmpty())
		lost := s.Apply(submit("bob", 1, questionnaire("bob")))
		Expect(kind(lost)).To(Equal(fault.Conflict))
		Expect(lost.Message).To(ContainSubstring(`revision 2 is in force, accepted as submission "alice"`))
		Expect(s.ConfigurationRevision()).To(Equal(uint64(2)))
		Expect(string(s.Questionnaire())).To(ContainSubstring("alice"))
	})

	// The answer to a submission is lost; the operator sends it again, by now
	// through another host, after others changed the configuration or a restart.
	It("gives a resend its first outcome, accepted or refused, also after a restore", func() {
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

	It("refuses an id that comes back with another text, and a bad text, and changes nothing", func() {
		s := configured()
		Expect(kind(s.Apply(submit("first", 0, questionnaire("other"))))).To(Equal(fault.KeyReused))
		Expect(kind(s.Apply(submit("bad", 1, []byte("deployment: ["))))).To(Equal(fault.InvalidRequest))
		Expect(s.ConfigurationRevision()).To(Equal(uint64(1)))
		Expect(s.Revision()).To(Equal(uint64(1)))
	})

	It("leaves an audit record of acceptance and refusal", func() {
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

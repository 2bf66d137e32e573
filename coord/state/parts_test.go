package state_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
)

// suspect is a request of a workspace that held parts, as its target crashed before any event.
func suspect(workspace, fingerprint string, ids ...string) *coordpb.Suspect {
	s := &coordpb.Suspect{Request: requestID(workspace, fingerprint)}
	for _, id := range ids {
		s.Parts = append(s.Parts, uint64(request.PartOf(id)))
	}
	return s
}

func crashUnder(now int64, id string, suspects ...*coordpb.Suspect) *coordpb.Command {
	return recordCrashes(now, &coordpb.RecordCrashes{Crashes: []*coordpb.Crash{{Id: id, Suspects: suspects}}})
}

func clearedParts(now int64, ids ...string) *coordpb.Command {
	m := &coordpb.RecordCrashes{}
	for _, id := range ids {
		m.ClearedParts = append(m.ClearedParts, uint64(request.PartOf(id)))
	}
	return recordCrashes(now, m)
}

// partStrikes returns the number of crashes by part.
func partStrikes(s *state.State, ids ...string) map[string]int {
	out := map[string]int{}
	for _, row := range s.View(0).Parts {
		for _, id := range ids {
			if row.Part == uint64(request.PartOf(id)) {
				out[id] = len(row.Crashes)
			}
		}
	}
	return out
}

// partConvicted returns a state in which the part bad is refused after the crashes c0, c1 and c2.
func partConvicted() *state.State {
	s := configured()
	for i := range 3 {
		s.Apply(crashUnder(int64(1000*(i+1)), fmt.Sprint("c", i), suspect("w1", fmt.Sprint("f", i), "bad"), suspect("w2", fmt.Sprint("g", i), "sound")))
	}
	return s
}

var _ = Describe("parts of prompts that crash targets", func() {
	It("are refused after crashes in any workspace, with an audit record", func() {
		s := configured()
		s.Apply(crashUnder(1000, "c1", suspect("w1", "f1", "bad")))
		s.Apply(crashUnder(2000, "c2", suspect("w2", "f2", "bad")))
		r := s.Apply(crashUnder(3000, "c3", suspect("w3", "f3", "bad")))
		Expect(r.ConvictedParts).To(Equal([]uint64{uint64(request.PartOf("bad"))}))
		Expect(s.Audit(0, 100)).To(ContainElement(And(
			HaveField("Action", "quarantine"), HaveField("Subject", "part "+state.PartID(request.PartOf("bad"))))))
		row := state.PartStrikes(s.View(0).Parts[0])
		Expect(row.Until).To(Equal(time.UnixMilli(3000).Add(request.PartRefusal)))
		Expect(row.Workspace).To(Equal("w1"))
	})

	It("lose their strikes with a run, and followers learn it", func() {
		s := configured()
		s.Apply(crashUnder(1000, "c1", suspect("w1", "f1", "a", "b")))
		before := s.Revision()
		s.Apply(clearedParts(2000, "a", "unknown"))
		Expect(partStrikes(s, "a", "b")).To(Equal(map[string]int{"b": 1}))
		Expect(s.View(before).Tombstones).To(ConsistOf(And(
			HaveField("Table", state.TableParts), HaveField("Id", state.PartID(request.PartOf("a"))))))
		before = s.Revision()
		s.Apply(clearedParts(3000, "a"))
		Expect(s.Revision()).To(Equal(before), "nothing changed")
	})

	// Guards against refusing whole requests that shared targets with a bad part.
	It("explain crashes, which are not held against requests", func() {
		s := partConvicted()
		Expect(sharedStrikes(s)).To(BeEmpty(), "taken off")
		s.Apply(crashUnder(4000, "c2", suspect("w1", "late")))
		Expect(sharedStrikes(s)).To(BeEmpty(), "another host's report of the same crash")
		s.Apply(crashUnder(5000, "c9", suspect("w1", "f9", "bad"), suspect("w1", "other")))
		Expect(sharedStrikes(s)).To(BeEmpty())
		s.Apply(crashUnder(6000, "c10", suspect("w1", "other")))
		Expect(sharedStrikes(s)).To(Equal(map[string]int{"other": 1}))
	})

	// Guards against a leader change or a restart that lets a bad part reach targets again.
	It("outlast a snapshot, and expire", func() {
		s := partConvicted()
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := state.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(proto.Equal(restored.View(0), s.View(0))).To(BeTrue())
		for _, member := range []*state.State{s, restored} {
			r := member.Apply(crashUnder(4000+request.PartRefusal.Milliseconds(), "c9", suspect("w1", "f9", "bad")))
			Expect(r.ConvictedParts).To(HaveLen(1), "the first crash after its refusal")
			Expect(member.Apply(expire(4000 + request.PartRefusal.Milliseconds() + request.PartMemory.Milliseconds())).Kind).To(BeEmpty())
			Expect(member.View(0).Parts).To(BeEmpty())
		}
	})

	// Guards against a control process that doesn't start with the data of the version before.
	It("are absent from reports and snapshots of versions that don't know them", func() {
		s := configured()
		s.Apply(crashes(1, "c1", "f"))
		Expect(s.View(0).Parts).To(BeEmpty())
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := state.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.Apply(crashUnder(2, "c2", suspect("w1", "f", "a"))).Kind).To(BeEmpty())
		Expect(partStrikes(restored, "a")).To(Equal(map[string]int{"a": 1}))
	})

	// Guards against reports of many bytes: a crash under 24 requests of three parts each.
	It("add less than a kilobyte to the report of a crash", func() {
		var with, without []*coordpb.Suspect
		for i := range 24 {
			fingerprint := fmt.Sprintf("%032d", i)
			with = append(with, suspect("workspace", fingerprint, fmt.Sprint("first", i), fmt.Sprint("second", i)))
			without = append(without, suspect("workspace", fingerprint))
		}
		added := proto.Size(crashUnder(1, "c", with...)) - proto.Size(crashUnder(1, "c", without...))
		GinkgoWriter.Printf("%d bytes added\n", added)
		Expect(added).To(BeNumerically("<", 1000))
		s := configured()
		before := s.Revision()
		s.Apply(crashUnder(1, "c", with...))
		GinkgoWriter.Printf("%d bytes to each follower for %d rows\n", proto.Size(s.View(before)), len(s.View(before).Parts))
	})
})

package state_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
)

func requestID(workspace, fingerprint string) *coordpb.RequestID {
	return &coordpb.RequestID{Workspace: workspace, Fingerprint: []byte(fingerprint)}
}

// crashes is the report of one host: a target ended while requests of workspace w1 were at the
// start of their answers, in runs that had just begun.
func crashes(now int64, id string, fingerprints ...string) *coordpb.Command {
	c := &coordpb.Crash{Id: id}
	for _, f := range fingerprints {
		c.Suspects = append(c.Suspects, &coordpb.Suspect{Request: requestID("w1", f)})
	}
	return recordCrashes(now, &coordpb.RecordCrashes{Crashes: []*coordpb.Crash{c}})
}

func recordCrashes(now int64, m *coordpb.RecordCrashes) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: now, Change: &coordpb.Command_RecordCrashes{RecordCrashes: m}}
}

// sharedStrikes returns the number of shared strikes by fingerprint.
func sharedStrikes(s *state.State) map[string]int {
	out := map[string]int{}
	for _, row := range s.View(0).Strikes {
		out[string(row.Fingerprint)] = len(row.Shared)
	}
	return out
}

var _ = Describe("crashes of shared targets", func() {
	// Guards against refusing the requests that shared their targets with a bad one.
	It("are held against the request that was in all of them only", func() {
		s := configured()
		s.Apply(crashes(1, "c1", "good1", "bad", "good2"))
		s.Apply(crashes(2, "c2", "bad", "good1"))
		Expect(sharedStrikes(s)).To(Equal(map[string]int{"bad": 2, "good1": 2, "good2": 1}))
		s.Apply(crashes(3, "c3", "good3"))
		Expect(s.Apply(crashes(4, "c3", "bad")).Quarantined).To(HaveLen(1))
		Expect(sharedStrikes(s)).To(Equal(map[string]int{"bad": 3}))
		Expect(s.Apply(crashes(5, "c3", "good4")).Quarantined).To(BeEmpty())
		s.Apply(crashes(6, "c4", "bad", "good2"))
		Expect(sharedStrikes(s)).To(Equal(map[string]int{"bad": 4}), "what runs on at other hosts explains more crashes")
	})

	// Guards against counting reports of several hosts, or a repeated report, as several crashes.
	It("count once, whoever reports them", func() {
		s := configured()
		for range 3 {
			s.Apply(crashes(1, "c1", "f"))
		}
		Expect(sharedStrikes(s)).To(Equal(map[string]int{"f": 1}))
		before := s.Revision()
		s.Apply(crashes(1, "c1", "f"))
		Expect(s.Revision()).To(Equal(before))
	})

	// Guards against refusing what many callers send when several targets fail at once.
	It("that are concurrent count as one, and are still explained by a request that is refused", func() {
		s := configured()
		const age = 500
		report := func(now int64, id, fingerprint string) *coordpb.Result {
			c := crashes(now, id, fingerprint)
			c.GetRecordCrashes().Crashes[0].Suspects[0].AgeMs = age
			return s.Apply(c)
		}
		for i := range 5 {
			Expect(report(int64(1+i), fmt.Sprint("c", i), "popular").Quarantined).To(BeEmpty())
		}
		report(6, "c4", "other")
		Expect(sharedStrikes(s)).To(HaveKey("other"))
		Expect(report(6+age, "d1", "popular").Quarantined).To(BeEmpty())
		Expect(report(6+3*age, "d2", "popular").Quarantined).To(HaveLen(1))
		Expect(sharedStrikes(s)).NotTo(HaveKey("other"))
	})

	It("are disproved by a run that reaches its end, also of a request that is refused", func() {
		s := configured()
		for i := range 3 {
			s.Apply(crashes(int64(i+1), fmt.Sprint("c", i), "f"))
		}
		before := s.Revision()
		s.Apply(recordCrashes(4, &coordpb.RecordCrashes{Completed: []*coordpb.RequestID{requestID("w1", "f")}}))
		Expect(sharedStrikes(s)).To(BeEmpty())
		Expect(s.View(before).Tombstones).To(HaveLen(1))
	})

	It("expire sooner while they are not enough to refuse the request, and outlast a restart", func() {
		s := configured()
		s.Apply(crashes(1, "c1", "f"))
		s.Apply(expire(1 + request.SuspectTTL.Milliseconds()))
		Expect(sharedStrikes(s)).To(BeEmpty())
		const later = 1_000_000
		for i := range 3 {
			s.Apply(crashes(later, fmt.Sprint("d", i), "g"))
		}
		s.Apply(expire(later + request.SuspectTTL.Milliseconds()))
		restored := state.New()
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(sharedStrikes(restored)).To(Equal(map[string]int{"g": 3}))
		Expect(restored.Audit(0, 100)).To(ContainElement(HaveField("Action", "quarantine")))
	})
})

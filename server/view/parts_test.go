package view_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// partReport is a host's report of a crash under requests with a part, or of a run on it.
func partReport(nowMs int64, crash, id string) *coordpb.Command {
	p := uint64(request.PartOf(id))
	m := &coordpb.RecordCrashes{ClearedParts: []uint64{p}}
	if crash != "" {
		suspect := &coordpb.Suspect{Request: &coordpb.RequestID{Workspace: "w", Fingerprint: []byte(crash)}, Parts: []uint64{p}}
		m = &coordpb.RecordCrashes{Crashes: []*coordpb.Crash{{Id: crash, Suspects: []*coordpb.Suspect{suspect}}}}
	}
	return &coordpb.Command{NowUnixMs: nowMs, Change: &coordpb.Command_RecordCrashes{RecordCrashes: m}}
}

// Guards against hosts that go on sending requests with a refused part, or refuse one that was cleared.
func TestPartsWithStrikesAreFollowed(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	control := &fakeControl{answer: func(r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
		return &rpc.SyncResponse{View: s.View(r.Since), FreshnessMs: 1000}, nil
	}}
	c := &clock{now: time.UnixMilli(1)}
	running := follower(c, control)
	parts := []request.Part{request.PartOf("bad")}
	refused := func(rows request.PartRows) bool {
		return fault.Is(request.CheckParts(rows, parts, time.UnixMilli(4000)), fault.Quarantined)
	}
	for i := range 3 {
		s.Apply(partReport(int64(1000*(i+1)), fmt.Sprint("c", i), "bad"))
		g.Expect(running.Poll(background)).To(Succeed())
		g.Expect(refused(running.Current().Parts)).To(Equal(i == 2))
	}
	started := follower(c, control)
	g.Expect(started.Poll(background)).To(Succeed())
	g.Expect(refused(started.Current().Parts)).To(BeTrue(), "from a whole view")
	s.Apply(partReport(5000, "", "bad"))
	g.Expect(running.Poll(background)).To(Succeed())
	g.Expect(running.Current().Parts).To(BeEmpty(), "from a tombstone")
}

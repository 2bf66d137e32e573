package control_test

import (
	"fmt"
	"testing"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
)

// BenchmarkUnfollowing measures the leader's list of processes to announce control to.
func BenchmarkUnfollowing(b *testing.B) {
	g := newGroup()
	leader := g.start(b, 1, nil)
	g.mu.Lock()
	for i := range 350 {
		host := &coordpb.RegisterHost{
			Host: fmt.Sprint("h", i), Incarnation: "1", FailureDomain: "d", Role: state.RoleEntry,
			Address: fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200+1),
		}
		g.entries = append(g.entries, &coordpb.Command{NowUnixMs: 1, Change: &coordpb.Command_RegisterHost{RegisterHost: host}})
	}
	g.members[1].catchUp()
	g.mu.Unlock()
	for b.Loop() {
		if n := len(leader.Unfollowing()); n != 350 {
			b.Fatalf("%d processes", n)
		}
	}
}

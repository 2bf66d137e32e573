package control_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cowsliptiller/coord/state"
	"cowsliptiller/server/control"
	"cowsliptiller/server/rpc"
)

// pollOnce has a process poll a control process once.
func pollOnce(t *testing.T, role *control.Role, host, at string) {
	t.Helper()
	caller := &rpc.Caller{Host: host, Incarnation: "1", Address: at, FailureDomain: "d", Role: state.RoleEntry}
	if _, err := role.Sync(context.Background(), &rpc.SyncRequest{Caller: caller}); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// Guards against restarted processes that no control member announces itself to.
func TestProcessesThatStoppedPollingAreAnnouncedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		leader, member := g.start(t, 1, nil), g.start(t, 2, nil)
		pollOnce(t, member, "m-host", "10.0.0.1:7600")
		pollOnce(t, leader, "l-host", "10.0.0.2:7600")
		if got := member.Unfollowing(); len(got) != 0 {
			t.Errorf("a member announces to %v while its follower polls", got)
		}
		if got := leader.Unfollowing(); !slices.Equal(got, []string{"10.0.0.1:7600"}) {
			t.Errorf("the leader announces to %v", got)
		}
		time.Sleep(3 * time.Second) // virtual time
		if got := member.Unfollowing(); !slices.Equal(got, []string{"10.0.0.1:7600"}) {
			t.Errorf("the member announces to %v after its follower fell silent", got)
		}
		if got := leader.Unfollowing(); len(got) != 2 {
			t.Errorf("the leader announces to %v after all fell silent", got)
		}
	})
}

package discovery

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cowsliptiller/server/rpc"
)

// follower records the addresses that a directory prefers.
type follower struct {
	fresh     bool
	confirmed []string
	preferred []string
}

func (f *follower) Fresh(time.Time) bool              { return f.fresh }
func (f *follower) Confirmed() []string               { return f.confirmed }
func (f *follower) Prefer(address string, _ []string) { f.preferred = append(f.preferred, address) }

func announce(t *testing.T, d *Directory, r *rpc.AnnounceRequest) *rpc.AnnounceResponse {
	resp, err := d.Announce(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a fleet in which all processes follow the leader alone after a start.
func TestFollowersSpreadOverTheMembersThatAnswer(t *testing.T) {
	f := &follower{}
	d := NewDirectory(false, f, func() Group { return Group{} }, time.Now)
	members := []string{"m1", "m2", "m3"}
	for range 300 {
		announce(t, d, &rpc.AnnounceRequest{Address: "m1", ControlAddresses: append(members, "dead"), Answering: members})
	}
	for _, m := range members {
		count := 0
		for _, p := range f.preferred {
			if p == m {
				count++
			}
		}
		if count < 60 {
			t.Errorf("%d of 300 announcements prefer %s, want at least 60", count, m)
		}
	}
	if slices.Contains(f.preferred, "dead") {
		t.Error("a member that does not answer was preferred")
	}
}

// Guards against a seed that does not follow control and does not pass on the addresses of
// control that were announced to it.
func TestASeedPassesOnWhatWasAnnounced(t *testing.T) {
	f := &follower{confirmed: []string{"m1"}}
	now := time.Now()
	d := NewDirectory(false, f, func() Group { return Group{} }, func() time.Time { return now })
	if announce(t, d, &rpc.AnnounceRequest{Address: "m2", ControlAddresses: []string{"m1", "m2", "m3"}}).Follows {
		t.Error("Follows is true for a seed that does not follow control")
	}
	located := func() string {
		resp, err := d.Locate(context.Background(), &rpc.LocateRequest{})
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(resp.ControlAddresses)
	}
	if got := located(); got != "[m1 m2 m3]" {
		t.Errorf("Locate returns %s", got)
	}
	now = now.Add(time.Minute)
	if got := located(); got != "[m1]" {
		t.Errorf("Locate returns %s a minute later", got)
	}
}

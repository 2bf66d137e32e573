package node

import (
	"testing"
	"time"

	"cowsliptiller/coord/coordpb"
)

func messageOf(bytes int) *coordpb.Message {
	return &coordpb.Message{Entries: []*coordpb.Entry{{Data: make([]byte, bytes)}}}
}

// A member comes back after ten deployments of 200 KB. They went into one call, which had
// 0.3 seconds; on a link of 100 Mbit/s beside other traffic it took longer each time, was
// broken off, and began anew, while callers asked that member in vain.
func TestLargeMessagesGoInCallsThatEndInTime(t *testing.T) {
	p := &peer{wake: make(chan struct{}, 1)}
	for range 10 {
		p.push(messageOf(200 << 10))
	}
	calls := 0
	for taken := p.take(); len(taken) > 0; taken = p.take() {
		calls++
		if len(taken) > 2 {
			t.Errorf("%d large messages in one call", len(taken))
		}
		if wait := deliverTime(600*time.Millisecond, taken); wait < 300*time.Millisecond+time.Duration(len(taken))*190*time.Millisecond {
			t.Errorf("a call with %d of them has %v", len(taken), wait)
		}
	}
	if calls != 5 {
		t.Errorf("%d calls", calls)
	}
	if wait := deliverTime(600*time.Millisecond, []*coordpb.Message{{}}); wait != 300*time.Millisecond {
		t.Errorf("a heartbeat has %v", wait)
	}
}

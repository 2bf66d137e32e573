package node

import (
	"testing"
	"time"

	"cowsliptiller/coord/coordpb"
)

func messageOf(bytes int) *coordpb.Message {
	return &coordpb.Message{Entries: []*coordpb.Entry{{Data: make([]byte, bytes)}}}
}

// Guards against calls so large that they are broken off and begun anew for ever.
func TestLargeMessagesGoInCallsThatEndInTime(t *testing.T) {
	l := newLane(1, nil)
	for range 10 {
		l.push(messageOf(200 << 10))
	}
	calls := 0
	for taken := l.take(); len(taken) > 0; taken = l.take() {
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

// Guards against heartbeats that wait until a large entry has arrived.
func TestHeartbeatsDoNotQueueBehindEntries(t *testing.T) {
	p := newPeer(1, nil)
	entry := messageOf(1 << 20)
	entry.Kind = coordpb.MessageKind_MESSAGE_KIND_APPEND
	p.push(entry)
	p.push(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT})
	p.push(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND})
	if taken := p.urgent.take(); len(taken) != 1 || taken[0].Kind != coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT {
		t.Errorf("urgent messages: %v", taken)
	}
	if taken := p.bulk.take(); len(taken) != 1 || taken[0] != entry {
		t.Errorf("%d messages in the first call of entries", len(taken))
	}
	if taken := p.bulk.take(); len(taken) != 1 {
		t.Errorf("the message behind the entry: %v", taken)
	}
}

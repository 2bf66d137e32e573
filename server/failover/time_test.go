package failover

import (
	"testing"
	"time"

	"cowsliptiller/server/rpc"
)

// Guards against large calls that are given up and sent again while they are on their way.
func TestALargeCallHasTheTimeThatANarrowLinkTakes(t *testing.T) {
	large := &rpc.AdoptRequest{AdoptGzip: make([]byte, 3<<20)}
	if got := attemptTimeOf(large); got < attemptTime+3*time.Second {
		t.Errorf("3 MB over 10 Mbit/s have %v", got)
	}
	if got := attemptTimeOf(&rpc.SourceRequest{}); got != attemptTime {
		t.Errorf("a small call has %v", got)
	}
}

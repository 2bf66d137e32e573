package failover

import (
	"testing"
	"time"

	"cowsliptiller/server/rpc"
)

// Guards against large requests that time out and are sent again during the transfer.
func TestALargeCallHasTheTimeThatANarrowLinkTakes(t *testing.T) {
	large := &rpc.AdoptRequest{AdoptGzip: make([]byte, 3<<20)}
	if got := attemptTimeoutFor(large); got < attemptTimeout+3*time.Second {
		t.Errorf("timeout of a 3 MB request over 10 Mbit/s is %v", got)
	}
	if got := attemptTimeoutFor(&rpc.SourceRequest{}); got != attemptTimeout {
		t.Errorf("timeout of a small request is %v", got)
	}
}

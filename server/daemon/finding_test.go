package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cowsliptiller/server/rpc"
)

// All hosts lost power. One that is back asks its seeds for control: two of them are
// still dark and answer nothing. The third, which is there, must not wait for its turn
// until they have been given up.
func TestSeedsThatAreSilentDoNotHoldUpTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var learned []string
		var at time.Duration
		var silent atomic.Int64
		f := finder{
			locate: func(ctx context.Context, seed string) (*rpc.LocateResponse, error) {
				if seed != "c" {
					<-time.After(locateTimeout)
					return nil, context.DeadlineExceeded
				}
				return &rpc.LocateResponse{Disk: true, ControlAddresses: []string{"d"}}, nil
			},
			suggest: func(addresses []string) { learned, at = addresses, time.Since(began) },
			silent:  func(string, error) { silent.Add(1) },
		}
		f.ask(context.Background(), []string{"a", "b", "c"})
		if len(learned) != 2 || at != 0 {
			t.Errorf("learned %v after %v", learned, at)
		}
		if silent.Load() != 2 || time.Since(began) != locateTimeout {
			t.Errorf("%d silent seeds after %v", silent.Load(), time.Since(began))
		}
	})
}

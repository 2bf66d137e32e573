package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cowsliptiller/server/rpc"
)

// Guards against unresponsive seeds that delay the response of another seed.
func TestSeedsThatAreSilentDoNotHoldUpTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var learned []string
		var at time.Duration
		var silent atomic.Int64
		f := NewFinder(FinderConfig{
			Locate: func(ctx context.Context, seed string) (*rpc.LocateResponse, error) {
				if seed != "c" {
					<-time.After(LocateTimeout)
					return nil, context.DeadlineExceeded
				}
				return &rpc.LocateResponse{Disk: true, ControlAddresses: []string{"d"}}, nil
			},
			Suggest:       func(addresses []string) { learned, at = addresses, time.Since(began) },
			OnLocateError: func(string, error) { silent.Add(1) },
			Now:           time.Now,
		})
		answered := f.askSeeds(context.Background(), []string{"a", "b", "c"})
		if len(learned) != 2 || at != 0 || answered != 1 {
			t.Errorf("addresses %v after %v from %d seeds", learned, at, answered)
		}
		if silent.Load() != 2 || time.Since(began) != LocateTimeout {
			t.Errorf("%d failed queries after %v", silent.Load(), time.Since(began))
		}
	})
}

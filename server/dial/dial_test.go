package dial_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"cowsliptiller/server/dial"
)

// openings is a host as seen by who opens connections to it.
type openings struct {
	started time.Time
	up      time.Duration // when it answers from
	refuses bool
	tries   int
}

// open is answered if it was sent when the host was up; else nothing comes back, also
// after it has come up.
func (o *openings) open(ctx context.Context, _, _ string) (net.Conn, error) {
	o.tries++
	if time.Since(o.started) < o.up {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if o.refuses {
		return nil, syscall.ECONNREFUSED
	}
	c, _ := net.Pipe()
	return c, nil
}

// All hosts lose power and come back within half a second. Whoever was back first asked
// hosts that were not: the opening packet was lost, the kernel would send it again after
// a second, and for all that time callers were refused.
func TestOpensAgainWhereTheFirstPacketWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &openings{started: time.Now(), up: 400 * time.Millisecond}
		c, err := dial.Again(o.open, time.Second)(context.Background(), "tcp4", "10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		if took := time.Since(o.started); took > 2*dial.FirstAnswer {
			t.Errorf("it took %v", took)
		}
	})
}

func TestGivesUpAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &openings{started: time.Now(), up: time.Hour}
		if _, err := dial.Again(o.open, time.Second)(context.Background(), "tcp4", "10.0.0.1:1"); err == nil {
			t.Error("a host that never answers was reached")
		}
		if took := time.Since(o.started); took != time.Second {
			t.Errorf("it took %v", took)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		if _, err := dial.Again(o.open, time.Second)(ctx, "tcp4", "10.0.0.1:1"); err == nil || time.Since(began) != 100*time.Millisecond {
			t.Errorf("the caller's time was not kept: %v after %v", err, time.Since(began))
		}
	})
}

// The kernel reports a timeout at once, as it does when it has no port or buffer left.
// Opening again without a pause would keep the processor busy until the time is over.
func TestDoesNotSpinOnATimeoutThatTookNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := 0
		open := func(context.Context, string, string) (net.Conn, error) {
			tries++
			if tries > 100 {
				t.Fatal("it spins")
			}
			return nil, syscall.ETIMEDOUT
		}
		if _, err := dial.Again(open, time.Second)(context.Background(), "tcp4", "10.0.0.1:1"); err == nil {
			t.Error("no error")
		}
		if tries != 1 {
			t.Errorf("%d tries", tries)
		}
	})
}

func TestTakesARefusalForAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &openings{started: time.Now(), refuses: true}
		if _, err := dial.Again(o.open, time.Second)(context.Background(), "tcp4", "10.0.0.1:1"); err == nil {
			t.Error("no error")
		}
		if o.tries != 1 || time.Since(o.started) != 0 {
			t.Errorf("%d tries in %v", o.tries, time.Since(o.started))
		}
	})
}

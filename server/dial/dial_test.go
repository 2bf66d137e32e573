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

// fakeHost is a host that ignores connection attempts until it is up.
type fakeHost struct {
	started  time.Time
	up       time.Duration // time after started from which it responds
	refuses  bool
	attempts int
}

// dial gets a response only if the host is up when the attempt starts. Otherwise it blocks
// until the context ends, also when the host comes up meanwhile, as the SYN was lost.
func (o *fakeHost) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	o.attempts++
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

// Guards against waiting for the kernel's SYN retransmission after one second. When all
// hosts restart within half a second, the first ones dial hosts that are not up yet and
// lose the SYN, and callers are rejected until the retransmission.
func TestOpensAgainWhereTheFirstPacketWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeHost{started: time.Now(), up: 400 * time.Millisecond}
		c, err := dial.WithRetry(o.dial, time.Second)(context.Background(), "tcp4", "10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		if took := time.Since(o.started); took > 2*dial.AttemptTimeout {
			t.Errorf("it took %v", took)
		}
	})
}

func TestGivesUpAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeHost{started: time.Now(), up: time.Hour}
		if _, err := dial.WithRetry(o.dial, time.Second)(context.Background(), "tcp4", "10.0.0.1:1"); err == nil {
			t.Error("dialing a host that never responds succeeded")
		}
		if took := time.Since(o.started); took != time.Second {
			t.Errorf("it took %v", took)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		if _, err := dial.WithRetry(o.dial, time.Second)(ctx, "tcp4", "10.0.0.1:1"); err == nil || time.Since(began) != 100*time.Millisecond {
			t.Errorf("the caller's deadline was not kept: got error %v after %v", err, time.Since(began))
		}
	})
}

// The kernel returns a timeout error immediately, for example when it has no free port or
// buffer. Retrying without a pause would busy-loop until the overall timeout.
func TestDoesNotSpinOnATimeoutThatTookNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		dialFunc := func(context.Context, string, string) (net.Conn, error) {
			attempts++
			if attempts > 100 {
				t.Fatal("more than 100 dial attempts")
			}
			return nil, syscall.ETIMEDOUT
		}
		if _, err := dial.WithRetry(dialFunc, time.Second)(context.Background(), "tcp4", "10.0.0.1:1"); err == nil {
			t.Error("no error")
		}
		if attempts != 1 {
			t.Errorf("%d dial attempts, want 1", attempts)
		}
	})
}

func TestTakesARefusalForAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeHost{started: time.Now(), refuses: true}
		if _, err := dial.WithRetry(o.dial, time.Second)(context.Background(), "tcp4", "10.0.0.1:1"); err == nil {
			t.Error("no error")
		}
		if o.attempts != 1 || time.Since(o.started) != 0 {
			t.Errorf("%d dial attempts in %v, want 1 without delay", o.attempts, time.Since(o.started))
		}
	})
}

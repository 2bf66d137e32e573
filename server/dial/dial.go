// Package dial opens connections with fast retries, for networks and hosts that may drop
// the first packet of a connection.
package dial

import (
	"context"
	"net"
	"time"
)

// AttemptTimeout is the timeout of one dial attempt. The kernel retransmits a SYN only after
// one second, then after two more, so a host that was just starting, or whose accept
// queue was full for a moment, would be unreachable for that long. The farthest host of a
// cluster across several regions responds within 0.15 s. With this timeout, hosts that
// all lost power and came back half a second apart found the control group in 0.6 s
// instead of 3 s (docs/design/platform-measures.md).
const AttemptTimeout = 250 * time.Millisecond

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// WithRetry returns a Func that calls d, with AttemptTimeout as timeout of each attempt, until
// an attempt gets a response or timeout has passed in total. Any error other than an
// attempt's timeout is a response and is returned at once.
func WithRetry(d Func, timeout time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		for {
			c, timedOut, err := dialOnce(ctx, d, network, address)
			if err == nil || ctx.Err() != nil || !timedOut {
				return c, err
			}
		}
	}
}

// dialOnce makes one attempt. timedOut reports whether AttemptTimeout passed. The error does
// not show that: the kernel can return a timeout error immediately, and retrying on it
// would busy-loop until the overall timeout.
func dialOnce(ctx context.Context, d Func, network, address string) (c net.Conn, timedOut bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, AttemptTimeout)
	defer cancel()
	c, err = d(ctx, network, address)
	return c, ctx.Err() != nil, err
}

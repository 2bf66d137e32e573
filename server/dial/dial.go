// Package dial opens connections whose first packet may be lost.
package dial

import (
	"context"
	"net"
	"time"
)

// FirstAnswer is how long one opening packet may go unanswered before another one is
// sent. The kernel sends it again only after a second, then after two more: a host that
// was just starting, or whose queue of new connections was full for a moment, is lost
// for that long. The farthest host of a fleet over several regions answers in 0.15 s.
// With it, a fleet whose hosts all lost power and came back half a second apart found
// its control group in 0.6 s instead of 3 s (docs/design/platform-measures.md).
const FirstAnswer = 250 * time.Millisecond

// Func opens one connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Again returns a Func that opens with d until one of them is answered, or timeout has
// passed in all. Any error but silence is an answer, and returned at once.
func Again(d Func, timeout time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		for {
			c, silent, err := once(ctx, d, network, address)
			if err == nil || ctx.Err() != nil || !silent {
				return c, err
			}
		}
	}
}

// once opens one connection. silent reports whether FirstAnswer went by: the error alone
// does not tell, as the kernel may call a failure a timeout that took no time, and trying
// again would then take the processor until the time is over.
func once(ctx context.Context, d Func, network, address string) (c net.Conn, silent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, FirstAnswer)
	defer cancel()
	c, err = d(ctx, network, address)
	return c, ctx.Err() != nil, err
}

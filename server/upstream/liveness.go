package upstream

import (
	"context"
	"errors"
	"syscall"

	"cowsliptiller/server/dial"
)

// Liveness says whether a process accepts connections at an address.
type Liveness int

// States of a process.
const (
	Unreachable Liveness = iota // the host did not answer
	Ended                       // the host refuses connections: no process listens
	Listening                   // a process accepts connections
)

// Probe opens a connection to an address and closes it. It waits at most
// dial.AttemptTimeout.
func Probe(ctx context.Context, address string) Liveness {
	ctx, cancel := context.WithTimeout(ctx, dial.AttemptTimeout)
	defer cancel()
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		dial.Abort(c)
		return Listening
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Ended
	}
	return Unreachable
}

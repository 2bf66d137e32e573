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

// Probe opens a connection to an address, which is kept for a later request. It waits at most
// dial.AttemptTimeout. Idle connections would not do: those of a process that has just ended may
// still look open.
func (p *Pool) Probe(ctx context.Context, address string) Liveness {
	ctx, cancel := context.WithTimeout(ctx, dial.AttemptTimeout)
	defer cancel()
	c, err := openConn(ctx, address)
	if err == nil {
		p.put(address, c)
		return Listening
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Ended
	}
	return Unreachable
}

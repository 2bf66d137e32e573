package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

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

// String returns the state as it is logged: unreachable, ended or listening.
func (l Liveness) String() string {
	switch l {
	case Ended:
		return "ended"
	case Listening:
		return "listening"
	}
	return "unreachable"
}

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

// probeAttemptInterval is the interval between the starts of the attempts of Responds.
const probeAttemptInterval = 60 * time.Millisecond

// Responds reports whether a target responds to r within timeout, over one of several new
// connections: one that was idle may have gone silent while new ones work. With a nil r, an
// accepted connection is a response. A refused connection is one too: the target's host responds.
func (p *Pool) Responds(ctx context.Context, address string, r *Request, attempts int, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan bool, attempts)
	ticker := time.NewTicker(probeAttemptInterval)
	defer ticker.Stop()
	for started := 0; ; {
		if started < attempts {
			started++
			go func() { results <- p.respondsOnce(ctx, address, r) }()
		}
		select {
		case responded := <-results:
			if responded {
				return true
			}
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *Pool) respondsOnce(ctx context.Context, address string, r *Request) bool {
	if r == nil {
		return p.Probe(ctx, address) != Unreachable
	}
	c, err := openConn(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	answer, err := p.exchange(ctx, c, r)
	if err != nil {
		return false
	}
	answer.Discard()
	return true
}

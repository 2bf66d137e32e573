package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"cowsliptiller/coord/framing"
	"cowsliptiller/server/dial"
)

// Probe opens a connection to an address, which is kept for a later request. It waits at most
// dial.AttemptTimeout. Idle connections would not do: those of a process that has just ended may
// still look open.
func (p *Pool) Probe(ctx context.Context, address string) framing.Liveness {
	ctx, cancel := context.WithTimeout(ctx, dial.AttemptTimeout)
	defer cancel()
	for {
		c, err := openConn(ctx, address)
		if err == nil {
			p.put(address, c)
			return framing.Running
		}
		if !isReset(err) || !pause(ctx, resetPause) {
			return livenessOf(err)
		}
	}
}

// livenessOf returns what a failure to connect says of the process at the address.
func livenessOf(err error) framing.Liveness {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return framing.Ended
	}
	return framing.Unresponsive
}

// isReset reports whether a connection was reset. That happens while the process exits, and also if a running
// process has too many connections.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// Bounds of ProbeAfterClose.
const (
	// afterCloseTimeout bounds the probe. A connection attempt that is lost is repeated within it.
	afterCloseTimeout = 2 * dial.AttemptTimeout
	// teardownTime is how long the kernel may take to close the sockets of an exiting process.
	teardownTime = 20 * time.Millisecond
	// resetPause is the pause after a connection that was reset.
	resetPause = 5 * time.Millisecond
	// maxResets is the number of consecutive resets after which a process counts as running.
	maxResets = 2 * int(teardownTime/resetPause)
)

// ProbeAfterClose returns the state of a process that has just closed a connection. The kernel closes the
// sockets of an exiting process one by one, so its listener may still accept a connection. The process
// therefore counts as running only if it responds to r or keeps the connection open for teardownTime.
// A nil r sends no request.
func (p *Pool) ProbeAfterClose(ctx context.Context, address string, r *Request) framing.Liveness {
	ctx, cancel := context.WithTimeout(ctx, afterCloseTimeout)
	defer cancel()
	for range maxResets {
		c, err := openConn(ctx, address)
		if err != nil && !isReset(err) {
			return livenessOf(err)
		}
		if err == nil {
			if state := p.observe(ctx, c, address, r); state != "" {
				return state
			}
		}
		if !pause(ctx, resetPause) {
			return framing.Unresponsive
		}
	}
	return framing.Running // the listener of an exiting process would be closed by now
}

// observe returns the state of a process by a new connection, or an empty state if the process closed it
// without a response. It takes ownership of c.
func (p *Pool) observe(ctx context.Context, c *conn, address string, r *Request) framing.Liveness {
	if r == nil {
		return p.observeIdle(c, address)
	}
	ctx, cancel := context.WithTimeout(ctx, teardownTime)
	defer cancel()
	answer, err := p.exchange(ctx, c, r)
	if err != nil && ctx.Err() == nil {
		return ""
	}
	if err != nil {
		return framing.Running // it kept the connection open
	}
	answer.Discard()
	if answer.Status == http.StatusMisdirectedRequest {
		return framing.Ended // the address belongs to another process
	}
	return framing.Running
}

// observeIdle is observe without a request. A connection that stays open is kept for a later one.
func (p *Pool) observeIdle(c *conn, address string) framing.Liveness {
	_ = c.SetReadDeadline(time.Now().Add(teardownTime))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.put(address, c)
		return framing.Running
	}
	_ = c.Close()
	if err == nil {
		return framing.Running
	}
	return ""
}

// pause waits. It reports false if the context ended before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// probeAttemptInterval is the interval between the starts of the attempts of Responds.
const probeAttemptInterval = 60 * time.Millisecond

// Responds reports whether a target responds to r within timeout, over one of several new
// connections: one that was idle may have gone silent while new ones work. With a nil r, an
// accepted connection is a response. So is a connection that is refused, reset or closed: the target's host
// responds. A busy target resets connections beyond its limit.
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
		return p.Probe(ctx, address) != framing.Unresponsive
	}
	c, err := openConn(ctx, address)
	if err != nil {
		return endedByPeer(err)
	}
	answer, err := p.exchange(ctx, c, r)
	if err != nil {
		return endedByPeer(err)
	}
	answer.Discard()
	return true
}

// endedByPeer reports whether a connection failed because the peer's host refused, reset or closed it.
func endedByPeer(err error) bool {
	ends := []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF}
	return slices.ContainsFunc(ends, func(end error) bool { return errors.Is(err, end) })
}

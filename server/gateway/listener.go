package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/socket"
)

// Bounds of the callers' listener.
const (
	// headerTimeout and maxHeaderBytes bound the headers of callers before a deployment is known, and
	// the limits that a deployment may set.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// shutdownMargin is the part of the grace period reserved for answering
	// canceled calls and ending the process.
	shutdownMargin = 900 * time.Millisecond
	// finalAnswerTimeout is allowed for the answers to canceled calls.
	finalAnswerTimeout = 300 * time.Millisecond
	// drainPoll is how often a draining gateway checks for unanswered calls and connections.
	drainPoll = 20 * time.Millisecond
)

func (g *Gateway) listen() error {
	if err := g.serve(g.config.Ready, &http.Server{Handler: http.HandlerFunc(g.answerReady), ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(g.ServeHTTP), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.connections.trackState,
	}
	// No idle timeout of the server's own: it changes with the deployment, see sweepIdle.
	return g.serve(g.config.Listen, server)
}

func (g *Gateway) serve(address string, server *http.Server) error {
	if address == "" {
		return nil
	}
	l, err := socket.Listen("tcp4", address, g.config.Sockets)
	if err != nil {
		return fault.New(fault.InvalidRequest, "listen on %s: %v", address, err)
	}
	if server.ConnState != nil {
		l = g.connections.addCallers(l)
	} else {
		l = inbound.Limited(l, g.config.Connections.Other)
	}
	g.connections.add(server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !g.isDraining() {
			g.config.Log.Error("listener ended", "address", address, "error", err)
		}
	}()
	return nil
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready implements process.Role. A host without a current deployment refuses
// every request, so it must not receive any.
func (g *Gateway) Ready() error {
	switch {
	case g.isDraining():
		return fault.New(fault.Leaving, "shutting down")
	case g.index() == nil:
		return fault.New(fault.Stale, "no deployment is confirmed as current")
	case !g.targets.boardAnswered():
		return fault.New(fault.Unavailable, "no target table received yet")
	}
	return nil
}

// ServeHTTP serves one request. It sends exactly one final answer, immediately when
// the request is canceled.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.addRunning(1)
	defer g.addRunning(-1)
	start := g.config.Now()
	c, err := g.admit(w, r, start)
	defer func() { c.buffered.Release() }()
	if err == nil && g.isClosed() {
		err = errClosed
	}
	if err != nil {
		g.finish(w, c, false, err)
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer g.watchShutdown(c, end)()
	answered, err := g.serveCall(ctx, w, c)
	g.finish(w, c, answered, shutdownError(ctx, c, err))
}

func (g *Gateway) serveCall(ctx context.Context, w http.ResponseWriter, c *call) (answered bool, err error) {
	if err := g.readBody(w, c); err != nil {
		return false, err
	}
	if err := g.quarantine.check(c); err != nil {
		return false, err
	}
	refund, err := g.charge(ctx, c)
	if err != nil {
		return false, err
	}
	answered, err = g.run(ctx, c, w)
	if c.attempts.Ran() == fault.RanNo {
		refund()
	}
	return answered, err
}

// finish sends the final answer, unless one has been started, and records the result.
func (g *Gateway) finish(w http.ResponseWriter, c *call, answered bool, err error) {
	if err == nil {
		g.recordEnd(c, nil)
		return
	}
	f := fault.From(err)
	if c.attempts != nil {
		if final, ok := c.attempts.Resolve(err); ok && final != nil {
			f = final
		}
	}
	if answered {
		c.record.CutBy = c.cutBy(f)
		g.config.Metrics.answerCut(c.record)
		g.recordEnd(c, f)
		// The answer must not look complete: abort the connection.
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, c, f)
	g.recordEnd(c, f)
}

func (g *Gateway) addRunning(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += n
}

func (g *Gateway) runningCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// defaultIdleTimeout is the idle timeout while no deployment is known.
const defaultIdleTimeout = time.Minute

func (g *Gateway) idleLimit() time.Duration {
	if s := g.config.Source.Current(); s != nil && s.Routes != nil && s.Routes.Limits.IdleTimeoutMs > 0 {
		return time.Duration(s.Routes.Limits.IdleTimeoutMs) * time.Millisecond
	}
	return defaultIdleTimeout
}

// headerLimits returns the limits of a caller's header in force.
func (g *Gateway) headerLimits() inbound.HeaderLimits {
	l := inbound.HeaderLimits{Timeout: headerTimeout, Bytes: maxHeaderBytes}
	s := g.config.Source.Current()
	if s == nil || s.Routes == nil {
		return l
	}
	if set := time.Duration(s.Routes.Limits.HeaderTimeoutMs) * time.Millisecond; set > 0 {
		l.Timeout = min(l.Timeout, set)
	}
	if set := s.Routes.Limits.HeaderBytes; set > 0 {
		l.Bytes = min(l.Bytes, set)
	}
	return l
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Close implements process.Role.
func (g *Gateway) Close() error {
	g.stop()
	g.connections.close()
	g.workers.Wait()
	return nil
}

// cancelOnClose calls cancel when a channel is closed, unless stop is called before.
func (g *Gateway) cancelOnClose(closed <-chan struct{}, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-closed:
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}

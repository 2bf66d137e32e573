package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

// Bounds of the callers' listener.
const (
	// headerTimeout bounds a header that comes slowly, before any deployment says
	// how slowly it may come.
	headerTimeout = 10 * time.Second
	// maxHeader is the most that a header may have; a deployment's own limit is below.
	maxHeader = 64 << 10
	// stopMargin is left of the grace when what still runs is given up: for its
	// answers, and for the end of the process.
	stopMargin = 900 * time.Millisecond
	// answerTime is allowed for the answers to what is given up.
	answerTime = 300 * time.Millisecond
	// drainPoll is how often a gateway that stops looks whether all is answered.
	drainPoll = 20 * time.Millisecond
)

func (g *Gateway) listen() error {
	if err := g.serve(g.config.Ready, &http.Server{Handler: http.HandlerFunc(g.answerReady), ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(g.ServeHTTP), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ConnState: g.callers.note,
	}
	// No idle timeout of the server's own: it changes with the deployment, see sweep.
	return g.serve(g.config.Listen, server)
}

func (g *Gateway) serve(address string, server *http.Server) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fault.New(fault.InvalidRequest, "listen on %s: %v", address, err)
	}
	g.callers.add(server, l)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !g.leaving() {
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

// Ready implements process.Role. A host that cannot tell which deployment is in
// force refuses every request: callers are better off elsewhere.
func (g *Gateway) Ready() error {
	switch {
	case g.leaving():
		return fault.New(fault.Leaving, "shutting down")
	case g.index() == nil:
		return fault.New(fault.Stale, "no deployment is surely in force")
	case !g.targets.answered():
		return fault.New(fault.Unavailable, "no target is known yet")
	}
	return nil
}

// ServeHTTP takes one request. It gives exactly one final answer, at once when the
// request is given up.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.count(1)
	defer g.count(-1)
	start := g.config.Now()
	c, err := g.admit(w, r, start)
	if err == nil && g.shut() {
		err = fault.NewRetryAfter(fault.Leaving, leavingRetryAfter, "this host has stopped taking requests")
	}
	if err != nil {
		g.end(w, c, false, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer g.until(g.ended, cancel)()
	answered, err := g.serveCall(ctx, w, c)
	g.end(w, c, answered, err)
}

func (g *Gateway) serveCall(ctx context.Context, w http.ResponseWriter, c *call) (answered bool, err error) {
	if err := g.readBody(w, c); err != nil {
		return false, err
	}
	giveBack, err := g.charge(ctx, c)
	if err != nil {
		return false, err
	}
	answered, err = g.run(ctx, c, w)
	if c.attempts.Ran() == fault.RanNo {
		giveBack()
	}
	return answered, err
}

// end gives the final answer, where none has begun to go out, and notes it.
func (g *Gateway) end(w http.ResponseWriter, c *call, answered bool, err error) {
	if err == nil {
		g.note(c, nil)
		return
	}
	f := fault.From(err)
	if c.attempts != nil {
		if final, ok := c.attempts.Resolve(err); ok && final != nil {
			f = final
		}
	}
	if answered {
		g.note(c, f)
		// The answer must not look whole: the connection is broken off.
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, c, f)
	g.note(c, f)
}

func (g *Gateway) count(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += n
}

func (g *Gateway) unfinished() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *Gateway) leaving() bool {
	select {
	case <-g.draining:
		return true
	default:
		return false
	}
}

// modelLimit bounds a wait for a model by what is left until this host stops.
func (g *Gateway) modelLimit(limit time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waitsEnd.IsZero() {
		return limit
	}
	return min(limit, g.waitsEnd.Sub(g.config.Now()))
}

// sendsAway reports whether calls that wait for a model are sent to other hosts: this
// one stops before their answers could end.
func (g *Gateway) sendsAway() bool {
	select {
	case <-g.left:
		return true
	default:
		return false
	}
}

func (g *Gateway) shut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// defaultIdle is how long an idle connection is kept before any deployment says.
const defaultIdle = time.Minute

func (g *Gateway) idleLimit() time.Duration {
	if s := g.config.Source.Current(); s != nil && s.Routes != nil && s.Routes.Limits.IdleTimeoutMs > 0 {
		return time.Duration(s.Routes.Limits.IdleTimeoutMs) * time.Millisecond
	}
	return defaultIdle
}

// Drain implements process.Role: not ready first, then, once the platform has seen
// that, no new connections, then what runs to its end.
func (g *Gateway) Drain(ctx context.Context) error {
	start := g.config.Now()
	end := start.Add(g.config.Grace - stopMargin)
	waitsFor := request.ShutdownWait(end.Sub(start), g.targets.longestRun())
	waits := time.AfterFunc(waitsFor, func() { close(g.left) })
	defer waits.Stop()
	g.mu.Lock()
	g.waitsEnd = start.Add(waitsFor)
	g.mu.Unlock()
	close(g.draining)
	if !wait(ctx, g.config.DrainLook) {
		return ctx.Err()
	}
	// The platform sends nobody here any more unless all hosts of the failure domain
	// stop; callers that come all the same are better off elsewhere than cut off.
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.callers.closeListeners()
	g.callers.closeIdle()
	for g.unfinished() > 0 && g.config.Now().Before(end) {
		if !wait(ctx, drainPoll) {
			return ctx.Err()
		}
		g.callers.closeIdle()
	}
	close(g.ended)
	for g.unfinished() > 0 && g.config.Now().Before(end.Add(answerTime)) {
		if !wait(ctx, drainPoll) {
			return ctx.Err()
		}
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) bool {
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
	g.callers.close()
	g.stopped.Wait()
	return nil
}

// until cancels when a channel is closed, unless it is told to stop before.
func (g *Gateway) until(closed <-chan struct{}, cancel context.CancelFunc) (stop func()) {
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

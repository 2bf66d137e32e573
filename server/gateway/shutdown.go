package gateway

import (
	"context"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/server/inbound"
)

var (
	errClosed = fault.NewRetryAfter(fault.Leaving, drainRetryAfter, "this host is shutting down and accepts no requests")
	errLate   = fault.NewRetryAfter(fault.Leaving, drainRetryAfter, "this host is shutting down before the answer could be complete")
)

// Drain implements process.Role: it fails readiness, then, once callers are routed to other hosts, stops accepting
// requests, also those whose bodies are not whole, then waits for running calls.
func (g *Gateway) Drain(ctx context.Context) error {
	start, run := g.config.Now(), g.targets.longestMeanRun()
	left := g.config.Grace - shutdownMargin
	end := start.Add(left)
	waitsFor := request.ShutdownWait(left, run)
	waits := time.AfterFunc(waitsFor, func() { close(g.rejectWaits) })
	defer waits.Stop()
	g.mu.Lock()
	g.waitDeadline, g.shutdownEnd = start.Add(waitsFor), end
	g.mu.Unlock()
	close(g.draining)
	accepts := request.ShutdownAccept(g.config.DrainLook, left, run)
	if !sleep(ctx, accepts) {
		return ctx.Err()
	}
	// The platform routes requests here only if all hosts of the failure domain stop;
	// refusing those is better than cutting them off later.
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.config.Bodies.Stop(g, errClosed)
	unsent := time.AfterFunc(max(0, waitsFor-accepts), func() { close(g.rejectUnsent) })
	defer unsent.Stop()
	if err := g.awaitDrained(ctx, end); err != nil {
		return err
	}
	close(g.cancelCalls)
	return g.awaitDrained(ctx, end.Add(finalAnswerTimeout))
}

// awaitDrained closes the listeners and returns when all requests are answered and their connections closed, or at the end.
// A call that has ended is not enough: its answer may not have been sent, and the next request may
// lie unread on its connection.
func (g *Gateway) awaitDrained(ctx context.Context, end time.Time) error {
	for !g.drained() && g.config.Now().Before(end) {
		if !sleep(ctx, drainPoll) {
			return ctx.Err()
		}
	}
	return nil
}

func (g *Gateway) drained() bool {
	closed := g.connections.closeListeners()
	g.connections.callers.CloseDrained(inbound.DrainLimits)
	return closed && g.runningCalls() == 0 && g.connections.callers.Empty()
}

func (g *Gateway) isDraining() bool {
	select {
	case <-g.draining:
		return true
	default:
		return false
	}
}

func (g *Gateway) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// boundModelWait bounds a wait for a model by the time left until this host stops.
func (g *Gateway) boundModelWait(limit time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waitDeadline.IsZero() {
		return limit
	}
	return min(limit, g.waitDeadline.Sub(g.config.Now()))
}

// rejectsWaits reports whether calls that wait for a model are refused, so that callers
// use other hosts: this one stops before their answers could end.
func (g *Gateway) rejectsWaits() bool {
	select {
	case <-g.rejectWaits:
		return true
	default:
		return false
	}
}

// checkShutdown returns errLate if this host stops before the call's answer could end. While it accepts requests,
// refusing none gives their answers the most time that the grace period allows.
func (g *Gateway) checkShutdown(c *call) error {
	g.mu.Lock()
	closed, end := g.closed, g.shutdownEnd
	g.mu.Unlock()
	if !closed {
		return nil
	}
	now := g.config.Now()
	limit := time.Duration(0)
	if !c.needsModel() {
		limit = c.deadline.Sub(now) // run times of plain services are not measured
	}
	if end.Sub(now) < request.ShutdownReserve(g.targets.meanRun(c.service.Name), limit) {
		return errLate
	}
	return nil
}

// Progress of a call's first attempt.
const (
	callWaiting int32 = iota // it has not begun
	callSent                 // it may reach a target
	callRefused              // it must not begin
)

// maySend reports whether an attempt of the call may begin; from then on the call is not refused as unsent.
func (c *call) maySend() bool {
	return c.progress.CompareAndSwap(callWaiting, callSent) || c.progress.Load() == callSent
}

// watchShutdown ends the call when this host refuses calls that wait, if it has not been sent, and at the end of the
// grace period. The caller must call stop.
func (g *Gateway) watchShutdown(c *call, end context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-g.rejectUnsent:
			if c.progress.CompareAndSwap(callWaiting, callRefused) {
				end(errLate)
				return
			}
		case <-g.cancelCalls:
		case <-done:
			return
		}
		select {
		case <-g.cancelCalls:
			end(errLate)
		case <-done:
		}
	}()
	return func() { close(done) }
}

// shutdownError returns the error to answer with for a call that ended with err: errLate if the shutdown has ended it and
// it has not run.
func shutdownError(ctx context.Context, c *call, err error) error {
	if err != nil && context.Cause(ctx) == error(errLate) && c.attempts.Ran() == fault.RanNo {
		return errLate
	}
	return err
}

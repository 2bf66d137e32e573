package entry

import (
	"context"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

// finalAnswerTime is the part of the grace period for the answers to calls that are ended.
const finalAnswerTime = 500 * time.Millisecond

func errLeaving() error {
	return fault.New(fault.Leaving, "this host is shutting down before the answer could be complete")
}

// Drain implements process.Role. Requests whose bodies are not whole are refused; at the end of the grace period, the
// context's deadline, running calls are ended and answered. The listener stays open while requests run:
// who still comes gets an honest refusal, not a connection that is refused.
func (e *Entry) Drain(ctx context.Context) error {
	e.cfg.Bodies.Stop(e, fault.New(fault.Leaving, "the entry host is leaving"))
	if end, ok := ctx.Deadline(); ok {
		end = end.Add(-finalAnswerTime)
		e.setShutdown(end)
		defer time.AfterFunc(time.Until(end), func() { e.endCalls(errLeaving()) }).Stop()
	}
	if err := e.work.Drain(ctx); err != nil {
		return err
	}
	if err := waitFor(ctx, &e.settling); err != nil {
		return err
	}
	if e.server == nil {
		return nil
	}
	// Server.Shutdown would drop requests that were not read whole yet.
	return e.drainConnections(ctx)
}

func (e *Entry) setShutdown(end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutdownEnd = end
}

// checkShutdown returns fault.Leaving if this host stops before the call's answer could end. Run times are not
// measured; a call that must not be repeated may take until its deadline.
func (e *Entry) checkShutdown(c *call) error {
	e.mu.Lock()
	end := e.shutdownEnd
	e.mu.Unlock()
	limit := time.Duration(0)
	if !c.class.Repeatable {
		limit = c.deadline.Sub(e.cfg.Now())
	}
	if !end.IsZero() && time.Until(end) < request.ShutdownReserve(0, limit) {
		return errLeaving()
	}
	return nil
}

// untilShutdown returns a context that also ends when this host ends its calls, and a function that releases it.
func (e *Entry) untilShutdown(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(e.life, func() { cancel(context.Cause(e.life)) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

// defaultMaxBody bounds a body that is read while no deployment, and so no limit, is known.
// A longer one is refused; the caller retries when the limit is known.
const defaultMaxBody = 1 << 20

var errNoDeployment = fault.New(fault.Stale, "this host has no deployment that is confirmed as current")

// awaitIndex sets the call's deployment. If none is confirmed as current it waits, as
// long as request.OutageWait allows. Errors: fault.Stale, and those of bufferBody.
func (g *Gateway) awaitIndex(w http.ResponseWriter, c *call) error {
	for {
		renewed := g.config.Source.Renewed()
		if c.index = g.index(); c.index != nil {
			return nil
		}
		// net/http detects a closed connection only after the body has been read.
		// Without this, calls of disconnected callers would run at a target.
		if err := g.bufferBody(w, c, defaultMaxBody); fault.Is(err, fault.TooLarge) {
			return errNoDeployment
		} else if err != nil {
			return err
		}
		outage := g.config.Source.Silent(g.config.Now())
		limit := cmp.Or(c.Deadline, defaultDeadline)
		if !g.waitForRecovery(c.http.Context(), c, recoveryWait{"deployment", outage, limit, renewed}) {
			return errNoDeployment
		}
	}
}

// awaitTargets waits while the target table is incomplete. It reports whether selection
// should be tried again.
func (t *retryState) awaitTargets(ctx context.Context) bool {
	wait, incomplete := t.targetsWait()
	return incomplete && t.gateway.waitForRecovery(ctx, t.call, wait)
}

// targetsWait returns the wait for a complete target table; false: it is complete.
func (t *retryState) targetsWait() (o recoveryWait, incomplete bool) {
	outage, changed := t.gateway.targets.incomplete()
	return recoveryWait{"targets", outage, t.call.waitLimit(), changed}, changed != nil
}

// recoveryWait describes a wait for data that this host lacks.
type recoveryWait struct {
	missing   string
	outage    time.Duration
	limit     time.Duration // of the caller's whole wait
	recovered <-chan struct{}
}

// waitForRecovery waits until an outage may be over. It reports false if the wait
// ended, the caller disconnected, or this host is draining.
func (g *Gateway) waitForRecovery(ctx context.Context, c *call, o recoveryWait) bool {
	left := g.recoveryTime(c, o)
	if left == 0 {
		return false
	}
	g.config.Events.OutageAwaited(c.RequestID, o.missing, o.outage, left)
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-o.recovered:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-g.rejectWaits:
	}
	return false
}

// recoveryTime returns how much longer a call may wait for the data that this host lacks; 0: it is
// refused.
func (g *Gateway) recoveryTime(c *call, o recoveryWait) time.Duration {
	if g.rejectsWaits() {
		return 0
	}
	return request.OutageWait(o.outage, g.config.Now().Sub(c.start), o.limit)
}

// incomplete returns for how long this host has been without a complete target table, and
// a channel that is closed at the next update; nil once the table has been complete.
func (t *targets) incomplete() (outage time.Duration, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Complete() {
		return 0, nil
	}
	return t.config.Now().Sub(t.startedAt), t.changed
}

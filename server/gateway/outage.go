package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

// defaultMaxBody bounds a body that is received before any deployment says how long it
// may be. A longer one is refused: the caller comes back when the limit is known.
const defaultMaxBody = 1 << 20

var errNoDeployment = fault.New(fault.Stale, "this host has no deployment that is surely in force")

// awaitIndex finds the deployment to follow. Where none is surely in force it waits, as
// long as that may be over soon. Errors: fault.Stale, and those of receive.
func (g *Gateway) awaitIndex(w http.ResponseWriter, c *call) error {
	for {
		renewed := g.config.Source.Renewed()
		if c.index = g.index(); c.index != nil {
			return nil
		}
		// Received now, the body shows when the caller goes: the server sees the end of
		// a connection only behind it. The call would go to a target for nobody.
		if err := c.bufferBody(w, defaultMaxBody); fault.Is(err, fault.TooLarge) {
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

// awaitTargets waits while targets, or models that they hold, may be there that this host
// does not know yet. It reports whether it is worth looking again.
func (t *retryState) awaitTargets(ctx context.Context) bool {
	outage, changed := t.gateway.targets.incomplete()
	if changed == nil {
		return false
	}
	return t.gateway.waitForRecovery(ctx, t.call, recoveryWait{"targets", outage, t.call.waitLimit(), changed})
}

// recoveryWait is a wait for what this host does not know for a time.
type recoveryWait struct {
	missing   string
	outage    time.Duration
	limit     time.Duration // that the caller waits in all
	recovered <-chan struct{}
}

// waitForRecovery waits until an outage may be over. It reports false where the call has waited
// long enough, its caller has gone, or this host is leaving.
func (g *Gateway) waitForRecovery(ctx context.Context, c *call, o recoveryWait) bool {
	left := request.OutageWait(o.outage, g.config.Now().Sub(c.start), o.limit)
	if left == 0 || g.rejectsWaits() {
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

// incomplete returns for how long this host has been without a board that knows all targets,
// and a channel that is closed when it learns more; nil where it has known them once.
func (t *targets) incomplete() (outage time.Duration, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Complete() {
		return 0, nil
	}
	return t.config.Now().Sub(t.startedAt), t.changed
}

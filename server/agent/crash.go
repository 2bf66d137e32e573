package agent

import (
	"context"
	"errors"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/target"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
	"cowsliptiller/server/wire"
)

// errCrashed marks an attempt during which the target died.
var errCrashed = errors.New("the target died while the request ran")

// strikeTimeout bounds the report of a strike, which the caller's answer waits
// for: its retry must meet the strike.
const strikeTimeout = 2 * time.Second

// blame adds to a failure after hand-over whether the target died of it, and
// reports a strike where the request ran alone. A caller who went away, a passed
// deadline and a silent connection say nothing about the target.
func (a *Agent) blame(ctx context.Context, req *wire.Request, err error) error {
	failure := fault.From(err)
	if ctx.Err() != nil || failure.Ran == fault.RanNo {
		return err
	}
	if failure.Kind != fault.TargetFailed && failure.Kind != fault.StreamBroken {
		return err
	}
	if !a.crashed(ctx) {
		return err
	}
	neighbours := a.queue().crash(req.Attempt)
	a.nudge()
	if request.AfterCrash(neighbours, req.Repeatable).Strike && a.strike(ctx, req) >= request.MaxStrikes {
		err = fault.WithRan(fault.New(fault.Quarantined, "the request crashed its targets"), fault.RanUnknown, false)
	}
	return crashError{err}
}

// crashError is a failure during which the target died.
type crashError struct{ error }

// Unwrap returns the failure.
func (c crashError) Unwrap() error { return c.error }

// Is makes the error match errCrashed.
func (c crashError) Is(other error) bool { return other == errCrashed }

// crashed reports whether the target died and its end was not announced.
func (a *Agent) crashed(ctx context.Context) bool {
	ended := a.died(ctx)
	snapshot, _, ok := a.spec()
	return request.IsCrash(ended, ok && a.takesNoWork(snapshot))
}

// sender probes the target after it has closed the connection of an answer. A target that does not respond
// counts as ended: it runs on the agent's host.
func (a *Agent) sender(ctx context.Context) framing.Sender {
	if a.died(ctx) {
		return framing.Sender{Liveness: framing.Ended}
	}
	return framing.Sender{Liveness: framing.Running}
}

// takesNoWork reports whether this target gets no new work: its end may follow.
func (a *Agent) takesNoWork(s *view.Snapshot) bool {
	host := s.AgentByTarget[a.cfg.Settings.Target]
	return host != nil && s.TakesNoWork(host)
}

// died asks the target for its status and compares it with what was known. When
// the target does not answer, nothing more is handed over from here on until it
// does: a request that meets a dead target would be blamed for its death. This
// comes before the crash is noted in the queue, so that a request which passed
// the check for life before is in the crashed batch, and not alone.
func (a *Agent) died(ctx context.Context) bool {
	m := a.memory()
	status, err := a.look(context.WithoutCancel(ctx))
	if err != nil {
		m.silent()
		return true
	}
	replicas, _, _ := m.snapshot()
	for _, r := range replicas {
		if r.State == target.Ready && status.model(r.Model) == nil && m.settled(r.Model) {
			return true
		}
	}
	return false
}

// strike records that a request crashed its target while it ran alone, and
// returns how often it has done so.
func (a *Agent) strike(ctx context.Context, req *wire.Request) int {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), strikeTimeout)
	defer cancel()
	response, err := a.cfg.Control.Strike(ctx, &rpc.StrikeRequest{Caller: a.cfg.Caller, Strike: &coordpb.RecordStrike{
		Workspace:     req.Workspace,
		Fingerprint:   req.Fingerprint,
		Attempt:       req.Attempt,
		ExpiresUnixMs: time.Now().Add(request.StrikeTTL).UnixMilli(),
	}})
	if err != nil {
		a.log.Warn("strike not recorded", "request_id", req.ID, "kind", fault.From(rpc.FromTwirp(err)).Kind)
		return 0
	}
	return int(response.Strikes)
}

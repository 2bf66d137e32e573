package agent

import (
	"context"
	"errors"

	"cowsliptiller/coord/fault"
)

// errCrashed marks an attempt during which the target died.
var errCrashed = errors.New("the target died while the request ran")

// blame adds to a failure after hand-over whether the target died: it then
// refuses new connections, or has lost what it held. A caller who went away, a
// passed deadline and a silent connection say nothing about the target.
func (a *Agent) blame(ctx context.Context, err error) error {
	if ctx.Err() != nil || fault.From(err).Ran == fault.RanNo {
		return err
	}
	if kind := fault.From(err).Kind; kind != fault.TargetFailed && kind != fault.StreamBroken {
		return err
	}
	if !a.died(ctx) {
		return err
	}
	a.nudge()
	return errors.Join(errCrashed, err)
}

// died asks the target for its status and compares it with what was known.
func (a *Agent) died(ctx context.Context) bool {
	status, err := a.target.Status(context.WithoutCancel(ctx))
	if err != nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, held := range a.resident {
		if held.model.Loaded && !a.busy[name] && !status.holds(name, held.model.Fencing) {
			return true
		}
	}
	return false
}

func (s *Status) holds(model string, fencing uint64) bool {
	for _, m := range s.Models {
		if m.Name == model && m.Fencing >= fencing && m.Loaded {
			return true
		}
	}
	return false
}

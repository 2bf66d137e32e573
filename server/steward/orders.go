package steward

import (
	"context"
	"fmt"

	"cowsliptiller/coord/residency"
	"cowsliptiller/platform"
)

// order sends one order, if the keeper has one. It reports whether another one may follow
// immediately.
func (s *Steward) order(ctx context.Context) bool {
	o, waiting, ok := s.next(ctx)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	said, err := s.config.Target.Send(ctx, platform.Order{
		Load: o.Load, Model: o.Model, Adapter: o.Adapter, ExpectedSequence: o.ExpectedSequence,
		Holder: s.config.Caller.GetHost(), Fencing: uint64(max(1, o.Fencing)), Instance: o.Instance,
	})
	if s.recordBackoff(err) {
		err = nil // the target has refused the order
	}
	result := resultOf(said, err)
	s.config.Events.OrderGiven(o.Instance, o.Load, o.Model, o.Adapter, o.ExpectedSequence, resultName(result, said, err), waiting)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.HandleResult(o, result, s.config.Now())
	if err == nil && said == platform.OrderMisdirected {
		// The target has restarted under another id since it was identified.
		s.instance = ""
	}
	if (o.FromStore || o.AddsCopy) && o.Load {
		s.permit.used = result == residency.Accepted || result == residency.OutcomeUnknown
	}
	return result == residency.Accepted && o.Adapter != ""
}

// next returns the keeper's next order if it may be sent now. An order that needs a permit is
// held back until there is one.
func (s *Steward) next(ctx context.Context) (o residency.Order, waiting int, ok bool) {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report == nil || s.backoff(now) > 0 {
		return o, 0, false
	}
	if !s.evacuated {
		o, ok = s.keeper.Next(now)
	}
	if o.Planned && s.report.Draining {
		o, ok = residency.Order{}, false // the copy would be gone before it serves
	}
	s.dropUnusedPermit(o, ok, now)
	if !ok {
		return o, 0, false
	}
	if (o.FromStore || o.AddsCopy) && !s.permitted(ctx, o) {
		return o, 0, false
	}
	s.keeper.MarkSent(o)
	return o, s.keeper.Waiting(), true
}

func resultOf(said platform.OrderResult, err error) residency.Result {
	if err != nil {
		return residency.OutcomeUnknown
	}
	switch said {
	case platform.OrderAccepted:
		return residency.Accepted
	case platform.OrderAlreadyDone:
		return residency.AlreadyDone
	case platform.OrderInvalid, platform.OrderFenced:
		return residency.Rejected
	}
	return residency.Refused
}

func resultName(r residency.Result, said platform.OrderResult, err error) string {
	if err != nil {
		return fmt.Sprintf("unknown: %v", err)
	}
	return [...]string{"accepted", "holds", "refused", "rejected", "unknown"}[r] + ": " + said.String()
}

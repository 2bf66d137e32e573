package steward

import (
	"context"
	"time"

	"cowsliptiller/coord/residency"
	"cowsliptiller/server/rpc"
)

// permit is the right to load a model from the weight store.
type permit struct {
	model  string
	until  time.Time
	asked  time.Time
	asking bool
	used   bool // its load has begun
}

// permitted reports whether the load that an order is for may begin, and requests a permit if
// none is held. The caller holds mu.
func (s *Steward) permitted(ctx context.Context, o residency.Order) bool {
	now := s.config.Now()
	if s.permit.model == o.For && (s.permit.used || now.Before(s.permit.until)) {
		return true
	}
	if s.permit.asking || now.Sub(s.permit.asked) < permitPause {
		return false
	}
	s.permit = permit{asked: now, asking: true}
	go s.askPermit(ctx, o)
	return false
}

func (s *Steward) askPermit(ctx context.Context, o residency.Order) {
	model := o.For
	granted, wait, busy := false, time.Duration(0), time.Duration(0)
	if b := s.config.Board(); b != nil {
		ctx, cancel := context.WithTimeout(ctx, tellTimeout)
		defer cancel()
		resp, err := b.Permit(ctx, &rpc.PermitRequest{Caller: s.config.Caller, Model: model, Store: o.FromStore, Grow: o.AddsCopy})
		if err != nil {
			s.config.Log.Debug("no answer on a permit", "model", model, "error", err)
		}
		granted = err == nil && resp.Granted
		if err == nil {
			wait = time.Duration(resp.RetryAfterMs) * time.Millisecond
		}
		if !granted && o.FromStore && !o.Planned {
			busy = wait
		}
	}
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permit = permit{asked: now}
	if busy > 0 {
		s.deliver(s.keeper.DelayStoreLoads(busy, now))
	}
	switch {
	case granted:
		s.permit.model, s.permit.until = model, now.Add(lifeOf(o))
		s.nudge()
	case o.Planned:
		s.keeper.DeferCopy(model, wait, now)
		s.nudge() // the models that requests wait for are next
	}
}

// lifeOf returns how long an unused permit for an order is valid. Room for a planned copy is kept as long as its
// unload takes, and the permit with it.
func lifeOf(o residency.Order) time.Duration {
	if o.Planned {
		return plannedPermitLife
	}
	return permitLife
}

// dropUnusedPermit returns a permit whose load will not be started, because demand has changed
// or the waiting requests have ended. The caller holds mu.
//
// Control counts an unused permit as a running load. Three of them blocked the weight store for
// seconds, while callers of a busy model were refused for lack of another copy.
func (s *Steward) dropUnusedPermit(next residency.Order, ok bool, now time.Time) {
	p := s.permit
	if p.model == "" || p.used {
		return
	}
	other := ok && next.Adapter == "" && next.For != p.model
	if other && (next.FromStore || next.AddsCopy) {
		return // the other order requests a permit, which replaces this one
	}
	if other || !ok && s.keeper.Idle(now) || now.After(p.until) {
		s.permit = permit{asked: now}
		go s.permitDone(p.model)
	}
}

// permitDone reports to control that the load of a model has ended or will not begin.
func (s *Steward) permitDone(model string) {
	b := s.config.Board()
	if b == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if _, err := b.Permit(ctx, &rpc.PermitRequest{Caller: s.config.Caller, Model: model, Done: true}); err != nil {
		// Control's permits expire.
		s.config.Log.Debug("end of a load not told", "error", err)
	}
}

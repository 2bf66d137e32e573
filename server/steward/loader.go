package steward

import (
	"context"
	"strconv"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/residency"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/board"
	"cowsliptiller/server/rpc"
)

// maxWaiting limits the waiting requests, each of which holds a call between processes.
const maxWaiting = 512

// Ensure implements rpc.Loader.
func (s *Steward) Ensure(ctx context.Context, r *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
	id, verdict, err := s.want(r)
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	s.nudge()
	select {
	case v := <-verdict:
		return s.ensured(v), nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.keeper.Cancel(id)
		delete(s.waiting, id)
		return nil, rpc.ToTwirp(ctx.Err())
	}
}

func (s *Steward) ensured(v residency.WaitResult) *rpc.EnsureResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &rpc.EnsureResponse{
		Held: v.Held, RetryAfterMs: uint32(v.RetryAfter.Milliseconds()), Reason: v.Reason, Expected: v.WillLoad,
		WarmUpMs: uint32(s.warmUpRemaining(s.config.Now()).Milliseconds()),
	}
}

// want adds a waiting request. Its result is sent to the channel, which has a buffer of 1.
func (s *Steward) want(r *rpc.EnsureRequest) (string, <-chan residency.WaitResult, error) {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report == nil || r.Instance != "" && r.Instance != s.instance {
		return "", nil, fault.New(fault.NotHere, "the target is another one by now, or does not answer")
	}
	if s.report.Draining {
		return "", nil, fault.New(fault.Leaving, "the target is leaving")
	}
	if s.evacuated {
		return "", nil, fault.New(fault.Leaving, "the target's failure domain is evacuated")
	}
	if backoff := s.backoff(now); backoff > 0 {
		return "", nil, fault.NewRetryAfter(fault.Overloaded, backoff, "the target is in backoff for %v", backoff.Round(time.Millisecond))
	}
	if s.keeper.Waiting() >= maxWaiting {
		return "", nil, fault.New(fault.Overloaded, "%d requests wait here", s.keeper.Waiting())
	}
	s.nextWant++
	id := strconv.FormatUint(s.nextWant, 10)
	verdict := make(chan residency.WaitResult, 1)
	w := residency.Waiter{
		ID: id, Model: r.Model, Adapter: r.Adapter, Value: r.Value,
		Deadline: now.Add(time.Duration(r.WaitMs) * time.Millisecond), WillRetry: r.Retries,
	}
	if v, over := s.keeper.Add(w, now); over {
		verdict <- v
		return id, verdict, nil
	}
	s.waiting[id] = verdict
	return id, verdict, nil
}

// tell reports the target's status to control's board periodically.
func (s *Steward) tell(ctx context.Context) {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	lost := false
	for {
		renewed := s.config.Source.Renewed()
		err := s.tellOnce(ctx)
		if err != nil && !lost {
			s.config.Events.DependencyLost("board", err)
		} else if err == nil && lost {
			s.config.Events.DependencyRegained("board", 0)
		}
		lost = err != nil
		if !lost {
			renewed = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-renewed: // control answers again: a new leader's board needs the status
		case <-s.seen:
		case <-ticker.C:
		}
	}
}

func (s *Steward) tellOnce(ctx context.Context) error {
	s.expirePlan()
	if !s.known() {
		return nil
	}
	b := s.config.Board()
	if b == nil {
		return fault.New(fault.Unavailable, "the control leader is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	resp, err := b.Report(ctx, s.standingReport())
	if err != nil {
		return rpc.FromTwirp(err)
	}
	if !resp.UseKnown {
		return nil // a new leader's board has not measured the demand yet
	}
	s.takeDemand(board.DemandFromRPC(resp))
	return nil
}

func (s *Steward) standingReport() *rpc.StandingReport {
	r := &rpc.StandingReport{Caller: s.config.Caller, Standing: s.standing()}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.UseEpoch, r.UseVersion = s.demand.Position()
	return r
}

func (s *Steward) takeDemand(u targetstatus.DemandUpdate) {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.Apply(u, now)
	demand := map[string]residency.Demand{}
	for _, d := range s.demand.Current(now) {
		demand[d.Model] = residency.Demand{ValuePerSecond: d.ValuePerSecond, Copies: d.Copies, Saturated: d.Saturated, Wanted: d.Wanted}
	}
	s.keeper.SetDemand(demand)
}

// expirePlan ends the plan of copies once the leader has sent nothing for as long as it is valid.
func (s *Steward) expirePlan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.demand.PlanExpired(s.config.Now()) {
		s.keeper.DropPlan()
	}
}

package steward

import (
	"context"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/server/board"
	"cowsliptiller/server/rpc"
)

// Reserve implements rpc.Loader.
func (s *Steward) Reserve(_ context.Context, r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report == nil || r.Instance != s.instance {
		return nil, rpc.ToTwirp(fault.New(fault.NotHere, "the target is another one by now, or does not answer"))
	}
	return board.ReserveFrom(s.pacers, r, s.warmUp, warmup.MaxAhead, now), nil
}

// warmUpRemaining is for how much longer the target is slow. The caller holds mu.
func (s *Steward) warmUpRemaining(now time.Time) time.Duration { return max(0, s.warmUntil.Sub(now)) }

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
	return board.ReserveFrom(s.sendTimes, r, s.warmUp, warmup.MaxAhead, now), nil
}

// rateLimitTTL is how long an observed limit is reported to control. Hosts that have learned of
// the end of a limit ask for no send times, so the agent does not learn of it.
const rateLimitTTL = 5 * time.Second

// recentRateLimit returns the limit that the target announced lately, nil if it is not known. The
// caller holds mu.
func (s *Steward) recentRateLimit(now time.Time) *rpc.RateObservation {
	newest := s.sendTimes.Limit(s.instance)
	if now.Sub(newest.At) > rateLimitTTL {
		return nil
	}
	return board.RateLimitToRPC(newest, now)
}

// warmUpRemaining is for how much longer the target is slow. The caller holds mu.
func (s *Steward) warmUpRemaining(now time.Time) time.Duration { return max(0, s.warmUntil.Sub(now)) }

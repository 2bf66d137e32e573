package steward

import (
	"time"

	"cowsliptiller/coord/fault"
)

// recordBackoff records the backoff that a target requests with err, and reports whether it does.
// During a backoff the agent neither reads reports nor gives orders, and keeps the last report.
func (s *Steward) recordBackoff(err error) bool {
	if err == nil {
		return false
	}
	f := fault.From(err)
	if f.Kind != fault.Overloaded || f.RetryAfter == 0 {
		return false
	}
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(f.RetryAfter); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	s.config.Events.TargetBackoff(s.lastID, f.RetryAfter)
	return true
}

// backoff returns the time until the target's backoff ends; 0 if none is in force. The caller holds
// mu.
func (s *Steward) backoff(now time.Time) time.Duration { return max(0, s.backoffUntil.Sub(now)) }

// refuseDuringBackoff reports whether a backoff is in force. Requests that wait for a model are then
// refused: another target can load it.
func (s *Steward) refuseDuringBackoff() bool {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backoff(now) == 0 {
		return false
	}
	s.deliver(s.keeper.FailAll("the target is in backoff"))
	return true
}

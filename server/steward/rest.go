package steward

import (
	"time"

	"cowsliptiller/coord/fault"
)

// rested reports whether err is that of a target that asks for rest, and records the rest. The agent
// then neither reads reports nor gives orders; what it knows of the target stays.
func (s *Steward) rested(err error) bool {
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
	if until := now.Add(f.RetryAfter); until.After(s.restUntil) {
		s.restUntil = until
	}
	s.config.Events.TargetRestAsked(s.lastID, f.RetryAfter)
	return true
}

// resting returns for how long the target wants no calls; 0 if it takes them. The caller holds mu.
func (s *Steward) resting(now time.Time) time.Duration { return max(0, s.restUntil.Sub(now)) }

// refuseWhileResting reports whether the target rests. Requests that wait for a model are refused:
// another target can load it.
func (s *Steward) refuseWhileResting() bool {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resting(now) == 0 {
		return false
	}
	s.deliver(s.keeper.FailAll("the target wants no requests for a time"))
	return true
}

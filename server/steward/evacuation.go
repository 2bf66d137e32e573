package steward

import "cowsliptiller/server/view"

// followEvacuation follows whether the target's failure domain is evacuated. After the end of
// an evacuation the target warms up; the next health check says for how long. The caller holds
// mu.
func (s *Steward) followEvacuation(snapshot *view.Snapshot) {
	domain := s.config.Caller.GetFailureDomain()
	evacuated := snapshot.Evacuated(domain)
	if evacuated == s.evacuated {
		return
	}
	s.evacuated = evacuated
	s.config.Events.EvacuationFollowed(domain, evacuated, snapshot.Revision)
	if !evacuated {
		s.instance = ""
		s.warmUntil = s.config.Now().Add(s.warmUp.Duration)
	}
}

package targetstatus

import "time"

// Load pattern: operators take a third of the targets out of service within seconds, and put
// them back later; some models are held nowhere else.
// Without it: calls go on to targets that must get none, the models held there count as copies,
// so that nobody loads another one, and on their return all targets get their full share at once
// while they are slow.
// Rule: targets of an evacuated domain are draining, for routing, demand and loads alike; after
// its end they warm up.

// Domain is the state of a failure domain that was evacuated at least once.
type Domain struct {
	Evacuated bool
	// EndedAt is when its last evacuation ended; a target there warms up from then on.
	EndedAt time.Time
	// WarmUp is for how long targets warm up after that, by service.
	WarmUp map[string]time.Duration
}

// SetDomains replaces the state of the failure domains.
func (t *Table) SetDomains(domains map[string]Domain, now time.Time) {
	t.domains = domains
	t.rebuild(now)
}

// withDomain returns a row as its failure domain makes it.
func (t *Table) withDomain(s Status) Status {
	d, known := t.domains[s.FailureDomain]
	if !known {
		return s
	}
	s.Draining = s.Draining || d.Evacuated
	if warmUp := d.WarmUp[s.Service]; warmUp > 0 && !d.Evacuated {
		s.WarmUpUntil = later(s.WarmUpUntil, d.EndedAt.Add(warmUp))
	}
	return s
}

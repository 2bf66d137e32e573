package state

import (
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// evacuations is the aggregate of the failure domains whose targets operators took out of
// service. The last command in the log takes precedence; repeating one changes nothing.
//
// A domain that no host or target is known in is accepted: it may be without power when its
// evacuation is requested, and its targets must stay out of service when they return.
type evacuations struct {
	rows map[string]*coordpb.Evacuation
}

func newEvacuations() evacuations {
	return evacuations{rows: map[string]*coordpb.Evacuation{}}
}

// set evacuates a domain or ends its evacuation, and returns its row. A domain that was never
// evacuated has none.
func (e *evacuations) set(m *coordpb.SetEvacuation, at commandContext) (row *coordpb.Evacuation, changed bool, err error) {
	if err := checkName("failure domain", m.FailureDomain); err != nil {
		return nil, false, err
	}
	old, known := e.rows[m.FailureDomain]
	if old.GetEvacuated() == m.Evacuated {
		return old, false, nil
	}
	if !known && len(e.rows) >= MaxEvacuations {
		return nil, false, fault.New(fault.Overloaded, "%d failure domains were evacuated, no more are allowed", MaxEvacuations)
	}
	row = &coordpb.Evacuation{
		FailureDomain: m.FailureDomain, Evacuated: m.Evacuated, ChangedUnixMs: at.now, Actor: truncateName(at.actor), Revision: at.revision,
	}
	e.rows[m.FailureDomain] = row
	return row, true, nil
}

// Evacuations returns the domains that are evacuated or were, ordered by name.
func (s *State) Evacuations() []*coordpb.Evacuation { return sortedRows(s.evacuations.rows) }

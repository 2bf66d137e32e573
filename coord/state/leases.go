package state

import (
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// leases is the aggregate of named leases. An epoch grows whenever the right
// passes on, so that what an earlier holder granted or returns late is told apart
// from the present holder's. A lapsed lease keeps its row for the epoch's sake.
//
// Expiry is judged by the time of commands, which the leader's clock sets. A
// holder must stop acting earlier, by its own monotonic clock and with a margin.
type leases struct {
	rows map[string]*coordpb.Lease
}

func newLeases() leases {
	return leases{rows: map[string]*coordpb.Lease{}}
}

func (l *leases) acquire(m *coordpb.AcquireLease, at step) (*coordpb.Lease, error) {
	if err := checkName("lease", m.Name); err != nil {
		return nil, err
	}
	if err := checkName("holder", m.Holder); err != nil {
		return nil, err
	}
	old, ok := l.rows[m.Name]
	if !ok && len(l.rows) >= MaxLeases {
		return nil, fault.New(fault.Overloaded, "%d leases are known, no more are allowed", MaxLeases)
	}
	held := ok && old.ExpiresUnixMs > at.now
	if held && old.Holder != m.Holder {
		return old, fault.New(fault.Conflict, "lease %q is held by %q", m.Name, old.Holder)
	}
	row := &coordpb.Lease{Name: m.Name, Holder: m.Holder, ExpiresUnixMs: m.ExpiresUnixMs, Epoch: old.GetEpoch()}
	if !held {
		row.Epoch++
	}
	l.rows[m.Name] = row
	return row, nil
}

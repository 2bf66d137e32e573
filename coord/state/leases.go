package state

import (
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// leases is the aggregate of named leases. The epoch increases with each grant that
// is not a renewal. It distinguishes what an earlier holder granted, or returns late,
// from the grants of the current holder. The row of an expired lease is kept, since it
// holds the epoch.
//
// Expiry is decided by the time of commands, which the leader's clock sets. A holder
// must stop acting earlier, by its own monotonic clock and with a safety margin.
type leases struct {
	rows map[string]*coordpb.Lease
}

func newLeases() leases {
	return leases{rows: map[string]*coordpb.Lease{}}
}

// acquire grants a lease to a holder or renews it. It returns the current lease if
// another holder has it.
func (l *leases) acquire(m *coordpb.AcquireLease, at commandContext) (*coordpb.Lease, error) {
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

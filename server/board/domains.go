package board

import (
	"context"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/targetstatus"
)

// clockError is how much the clocks of two control processes may differ. A new leader has only
// the former one's time for an evacuation that ended before it led.
const clockError = 5 * time.Second

// domains follows the replicated evacuations.
type domains struct {
	revision uint64 // of the newest change
	rows     map[string]targetstatus.Domain
}

// followDomains updates the evacuations until the context ends.
func (b *Board) followDomains(ctx context.Context) {
	ticker := time.NewTicker(domainInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		b.UpdateDomains()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// UpdateDomains takes over the replicated evacuations if this process leads. Run calls it
// periodically: calls of agents and entry hosts must not wait for the lock of the replicated
// state, which is held for long while many hosts register.
func (b *Board) UpdateDomains() {
	if _, err := b.lead(); err != nil {
		return
	}
	evacuations, deployment := b.config.Evacuations(), b.config.Deployment()
	now := b.config.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.domains.update(evacuations, deployment, now) {
		b.change(func() { b.table.SetDomains(b.domains.rows, now) })
	}
}

// update takes over the evacuations and reports whether any has changed.
func (d *domains) update(list []*coordpb.Evacuation, inForce *coordpb.Deployment, now time.Time) bool {
	newest := d.revision
	for _, e := range list {
		newest = max(newest, e.Revision)
	}
	if newest == d.revision {
		return false
	}
	rows, warmUp := map[string]targetstatus.Domain{}, warmUps(inForce)
	for _, e := range list {
		rows[e.FailureDomain] = targetstatus.Domain{Evacuated: e.Evacuated, EndedAt: d.endOf(e, now), WarmUp: warmUp}
	}
	d.revision, d.rows = newest, rows
	return true
}

// endOf returns when an evacuation ended: now, if it was in force until now, otherwise the time
// that the log has, made later by clockError.
func (d *domains) endOf(e *coordpb.Evacuation, now time.Time) time.Time {
	before, known := d.rows[e.FailureDomain]
	switch {
	case e.Evacuated:
		return time.Time{}
	case known && before.Evacuated:
		return now
	case known && e.Revision <= d.revision:
		return before.EndedAt
	}
	age := now.Sub(time.UnixMilli(e.ChangedUnixMs)) - clockError
	return now.Add(-max(0, age))
}

// warmUps returns for how long targets warm up, by service.
func warmUps(d *coordpb.Deployment) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, s := range d.GetServices() {
		if limit := deployment.WarmUpLimit(s); limit.Applies() {
			out[s.Name] = limit.Duration
		}
	}
	return out
}

package gateway

import (
	"maps"
	"time"
)

// listDelay is how much later than a target's restart the platform's list shows it.
const listDelay = 2 * time.Second

// warmingUp reports whether a target may be slow: its row says so, an agent said so, or this
// host could not connect to it lately.
func (t *targets) warmingUp(p destination) bool {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.table.Get(p.Instance); row != nil && now.Before(row.WarmUpUntil) {
		return true
	}
	return now.Before(t.warmUps[p.Instance])
}

// recordWarmUp records that a target is slow for some time, sooner than the table shows it.
func (t *targets) recordWarmUp(instance string, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	now := t.config.Now()
	until := now.Add(remaining)
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.warmUps, func(_ string, end time.Time) bool { return end.Before(now) })
	if t.warmUps[instance].Before(until) {
		t.warmUps[instance] = until
	}
}

// recordUnreachable records that no connection to a target could be opened. It may have
// restarted, and of a target without an agent the list shows that seconds later.
func (t *retryState) recordUnreachable(p destination) {
	if limit := t.call.service.WarmUp(); limit.Applies() && p.Agent == "" {
		t.gateway.targets.recordWarmUp(p.Instance, limit.Duration+listDelay)
	}
}

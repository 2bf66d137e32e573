package targetstatus

import (
	"slices"
	"time"
)

// Load pattern: the host of a target is suspended or partitioned while several entry hosts send
// requests there.
// Without it: each entry host sends requests until its own probes fail, and the target's copies
// count as available, so that no other target loads the models.
// Rule: a target is unreachable if probes of entry hosts fail and its agent's reports have stopped.
// Either alone is not enough: an agent can end while its target serves, and an entry host can be
// cut off itself. Where no agent reports, two entry hosts must agree.

const (
	// agentSilence is the age of the latest report from which an agent counts as silent: three
	// times the interval of its reports.
	agentSilence = 750 * time.Millisecond
	// failedProbeTTL is how long a failed probe counts after an entry host reported it; entry
	// hosts report failed probes again with each poll.
	failedProbeTTL = 1500 * time.Millisecond
	// hostsWithoutAgent is the number of entry hosts whose probes must fail if no agent has
	// reported.
	hostsWithoutAgent = 2
)

// failedProbes is when entry hosts last reported a failed probe, by target and host.
type failedProbes map[string]map[string]time.Time

// ReachabilityChange is a target that has become unreachable, or reachable again.
type ReachabilityChange struct {
	Instance    string
	Unreachable bool
}

// TakeReachabilityChanges returns the changes since the last call, oldest first.
func (t *Table) TakeReachabilityChanges() []ReachabilityChange {
	changes := t.reachability
	t.reachability = nil
	return changes
}

func (t *Table) recordReachability(previous, s *Status) {
	if wasUnreachable := previous != nil && previous.Unreachable; wasUnreachable != s.Unreachable {
		t.reachability = append(t.reachability, ReachabilityChange{s.Instance, s.Unreachable})
	}
}

// ReportFailedProbes replaces the targets that do not respond to an entry host's probes.
func (t *Table) ReportFailedProbes(host string, instances []string, now time.Time) {
	for instance, hosts := range t.failedProbes {
		if !slices.Contains(instances, instance) {
			delete(hosts, host)
		}
		if len(hosts) == 0 {
			delete(t.failedProbes, instance)
		}
	}
	for _, instance := range instances {
		if t.failedProbes[instance] == nil {
			t.failedProbes[instance] = map[string]time.Time{}
		}
		t.failedProbes[instance][host] = now
		if row := t.rows[instance]; row != nil && row.Unreachable != t.isUnreachable(row, now) {
			t.rebuildAddress(row.Address, now)
		}
	}
}

// isUnreachable reports whether the host of a target does not respond.
func (t *Table) isUnreachable(s *Status, now time.Time) bool {
	hosts := 0
	for _, at := range t.failedProbes[s.Instance] { // any order: only a count
		if now.Sub(at) <= failedProbeTTL {
			hosts++
		}
	}
	r, known := t.reports[s.Address]
	if !known {
		return hosts >= hostsWithoutAgent
	}
	return hosts > 0 && now.Sub(r.at) > agentSilence
}

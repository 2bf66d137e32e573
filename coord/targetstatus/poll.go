package targetstatus

import "time"

// Load pattern: every entry host polls the control leader for changed rows, and with many
// targets nearly all rows have changed since its last poll.
// Without it: the leader's traffic grows with the number of hosts times that of targets.
// Rule: hosts poll less often the more of them there are; a target in use returns its current
// load with each response, and the load of the others may be older.

const (
	// minPollInterval is the shortest interval between polls of one host. Each load change of
	// any target completes a pending poll, so without it hosts would poll continuously.
	minPollInterval = 200 * time.Millisecond
	// unthrottledHosts is the number of hosts up to which each uses minPollInterval: 200 polls
	// a second in total, 10 % of a small host's CPU.
	unthrottledHosts = 40
	// maxPollInterval keeps the age of a host's copy well below ReportTTL, after which a
	// report no longer counts.
	maxPollInterval = ReportTTL / 2
)

// PollInterval returns the interval between the polls of one entry host, given the number of
// entry hosts.
func PollInterval(hosts int) time.Duration {
	return min(maxPollInterval, minPollInterval*time.Duration(max(hosts, unthrottledHosts))/unthrottledHosts)
}

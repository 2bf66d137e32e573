package standings

import "time"

// Load pattern: every entry host asks the control leader for the rows that changed, and
// with many targets nearly all have changed since it asked last: what the leader sends
// grows with hosts times targets.
//
// Hosts poll less often the more of them there are. The load of a target in use comes with its
// own answers; that of the others may be older.

const (
	// askEvery is the least time between two questions of one host. Each change of any
	// target's load is new, so that without it the leader would be asked without end.
	askEvery = 200 * time.Millisecond
	// askFreely is up to how many hosts ask as often as that: 200 questions a second
	// together, a tenth of a small host's processor.
	askFreely = 40
	// askRarest keeps what is known of targets well below the age at which it is taken
	// for nothing.
	askRarest = ReportLife / 2
)

// AskEvery returns the time between two questions of one of so many entry hosts.
func AskEvery(hosts int) time.Duration {
	return min(askRarest, askEvery*time.Duration(max(hosts, askFreely))/askFreely)
}

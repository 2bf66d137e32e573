package consensus

import "time"

// Load pattern: a member gets the processor in slices, while messages of the others wait to be read.
// Without it: its own pauses count as silence of the others: a leader steps down, or a follower
// starts an election, although all members are connected.
// Rule: timeouts that judge other members count only the time in which this member runs. Leases,
// votes and the age of a heartbeat count all time.

// Paused records that this member did not run for d before its next Tick. A pause of an election
// timeout or more is not subtracted: another leader may have been elected.
func (r *Raft) Paused(d time.Duration) {
	if d >= r.config.ElectionTimeout {
		return
	}
	r.electionDeadline += d
	if r.role != Leader {
		return
	}
	r.leaderState.quorumContact += d
	r.writeStart += d
	r.leaderState.transferDeadline += d
	for _, p := range r.leaderState.progress {
		p.lastReply += d
	}
}

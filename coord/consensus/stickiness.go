package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// leaderStickiness makes a member reject votes for an election timeout after the last
// leader contact, so that a leader's lease stays valid across a restart of its followers.
//
// It ends when that leader itself requests a vote in a later term: its lease of the
// earlier term ended with its leadership. Without this rule, a group that restarts as a
// whole would wait an election timeout for a leader that no longer exists.
type leaderStickiness struct {
	leader uint64 // 0: unknown, as before the first sync that records it
	term   uint64
	ended  bool
}

// endedBy reports whether a vote request shows that the leader no longer leads.
func (s leaderStickiness) endedBy(m *coordpb.Message) bool {
	return s.leader != 0 && m.From == s.leader && m.Term > s.term
}

// campaignAsFormerLeader makes a member that led before its restart request votes soon:
// the others may vote again once it has asked. Its pre-vote raises no term and is
// rejected by members that are in contact with another leader. Its own stickiness, which
// protects itself, ends at once.
func (r *Raft) campaignAsFormerLeader() {
	r.stickiness.ended = true
	r.electionDeadline = r.now + time.Duration(r.config.Random.Int63n(int64(r.config.ElectionTimeout/preVoteRetryDivisor)))
}

package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// promise is leader stickiness: votes are rejected for an election timeout after the last
// leader contact, so that a leader's lease stays valid across a restart of its followers.
//
// It ends when that leader itself asks for a vote in a later term: its lease of the earlier
// term ended with its leadership. Otherwise a group that restarts as a whole would wait an
// election timeout for a leader that no member is.
type promise struct {
	leader uint64 // 0: not known, as before the first sync that names it
	term   uint64
	ended  bool
}

// endedBy reports whether a question for a vote shows that the leader leads no more.
func (p promise) endedBy(m *coordpb.Message) bool {
	return p.leader != 0 && m.From == p.leader && m.Term > p.term
}

// standAsFormerLeader has a member that led before its restart ask for votes soon: the
// others are free to vote once it has asked. Its trial raises no term and is refused by
// those that hear another leader by now. The promise to itself is void.
func (r *Raft) standAsFormerLeader() {
	r.promised.ended = true
	r.deadline = r.now + time.Duration(r.config.Random.Int63n(int64(r.config.ElectionTimeout/trialShare)))
}

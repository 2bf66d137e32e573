package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// promise is what a member owes the leader that it acknowledged last, also before a
// restart: to help no other member lead for an election timeout.
//
// It ends sooner when that leader itself asks for a vote in a later term. A member that
// asks does not lead, its lease went with its leadership or its process, and it never
// leads the terms before again, so that nothing rests on the promise any more, however
// late the question comes.
//
// Without this all members of a group that lost power together wait for each other's
// promise to a leader that is gone: callers were without control for the 0.6 s of an
// election timeout after the last member had started.
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

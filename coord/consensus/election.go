package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// startPreVote asks the voters whether they would vote for this member, without
// raising the term.
//
// Without pre-vote, a partitioned member raises its term on its own and deposes a
// working leader when it reconnects; callers see an election, that is a pause, each
// time. The other members reject pre-votes while they are in contact with their
// leader (thesis 9.6).
func (r *Raft) startPreVote() {
	if !r.isVoter(r.config.ID) {
		r.resetElectionDeadline()
		return
	}
	r.becomeFollower(r.term, 0)
	r.role = PreCandidate
	r.votes = map[uint64]bool{r.config.ID: true}
	if r.hasVoteQuorum() {
		r.becomeCandidate(false)
		return
	}
	r.requestVotes(coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1, false)
	r.schedulePreVoteRetry()
}

// preVoteRetryDivisor sets the delay before an unsuccessful pre-vote is repeated:
// one to two times the election timeout divided by this value.
const preVoteRetryDivisor = 4

// schedulePreVoteRetry repeats a pre-vote before a full election timeout has passed.
// When all members start together, each rejects votes for an election timeout from
// its start, and the first one to ask would ask again only a full timeout later. A
// pre-vote raises no term and deposes no leader, so a repetition costs only messages.
// Without it, eight members that started within half a timeout of 0.6 s took 1.05 s to
// elect a leader.
func (r *Raft) schedulePreVoteRetry() {
	minDelay := r.config.ElectionTimeout / preVoteRetryDivisor
	r.electionDeadline = r.now + minDelay + time.Duration(r.config.Random.Int63n(int64(minDelay)))
}

// becomeCandidate starts an election in the next term (paper 5.2). The member's own
// vote counts once it is synced: see WriteSynced.
func (r *Raft) becomeCandidate(transfer bool) {
	r.becomeFollower(r.term+1, 0)
	r.role = Candidate
	r.vote = r.config.ID
	r.votes = map[uint64]bool{}
	r.requestVotes(coordpb.MessageKind_MESSAGE_KIND_VOTE, r.term, transfer)
}

func (r *Raft) requestVotes(kind coordpb.MessageKind, term uint64, transfer bool) {
	for _, m := range r.log.membership().members {
		if m.Id == r.config.ID || m.Learner {
			continue
		}
		r.sendAfterSync(&coordpb.Message{
			Kind: kind, To: m.Id, Term: term,
			LogIndex: r.log.last(), LogTerm: r.log.lastTerm(), LeaderTransfer: transfer,
		})
	}
}

// ignoresVoteRequest reports whether a vote request must be ignored because this
// member acknowledged a leader less than an election timeout ago. The leader's
// lease and the stability of a working group depend on it (thesis 4.2.3 and 6.4.1).
// Requests sent on the leader's TIMEOUT_NOW are let through: that leader has given
// up its lease.
func (r *Raft) ignoresVoteRequest(m *coordpb.Message) bool {
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE, coordpb.MessageKind_MESSAGE_KIND_VOTE:
	default:
		return false
	}
	if m.LeaderTransfer {
		return false
	}
	if r.stickiness.endedBy(m) {
		r.stickiness.ended = true
	}
	return r.role == Leader || !r.stickiness.ended && r.now-r.leaderContact < r.config.ElectionTimeout
}

func (r *Raft) handlePreVote(m *coordpb.Message) {
	grant := m.Term > r.term && r.log.isUpToDate(m.LogIndex, m.LogTerm)
	reply := &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	r.sendAfterSync(reply)
}

func (r *Raft) handleVote(m *coordpb.Message) {
	canVote := r.vote == m.From || (r.vote == 0 && r.leader == 0)
	grant := canVote && r.log.isUpToDate(m.LogIndex, m.LogTerm)
	if grant {
		r.vote = m.From
		r.resetElectionDeadline()
	}
	r.sendAfterSync(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !grant})
}

func (r *Raft) handleVoteReply(m *coordpb.Message) {
	switch {
	case r.role == PreCandidate && m.Kind == coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY && m.Term == r.term+1:
	case r.role == Candidate && m.Kind == coordpb.MessageKind_MESSAGE_KIND_VOTE_REPLY && m.Term == r.term:
	default:
		return
	}
	if m.Reject {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}

func (r *Raft) countVotes() {
	if !r.hasVoteQuorum() {
		return
	}
	if r.role == PreCandidate {
		r.becomeCandidate(false)
		return
	}
	r.becomeLeader()
}

// handleTimeoutNow starts an election at once at the leader's request (thesis 3.10).
func (r *Raft) handleTimeoutNow(m *coordpb.Message) {
	if r.role == Leader || r.leader != m.From || !r.isVoter(r.config.ID) {
		return
	}
	r.becomeCandidate(true)
}

func (r *Raft) isVoter(id uint64) bool {
	for _, m := range r.log.membership().members {
		if m.Id == id {
			return !m.Learner
		}
	}
	return false
}

// hasVoteQuorum reports whether a majority of voters has granted this member's
// request.
func (r *Raft) hasVoteQuorum() bool {
	voters, granted := 0, 0
	for _, m := range r.log.membership().members {
		if m.Learner {
			continue
		}
		voters++
		if r.votes[m.Id] {
			granted++
		}
	}
	return voters > 0 && granted > voters/2
}

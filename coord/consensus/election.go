package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// campaign starts the trial election, which raises no term.
//
// Pre-vote guards against a member that was cut off: without it the member
// raises its term alone, and on its return deposes a leader that serves well.
// Callers see an election, that is a pause, each time. Holds because the others
// refuse a trial while they hear their leader (thesis 9.6).
func (r *Raft) campaign() {
	if !r.isVoter(r.config.ID) {
		r.resetDeadline()
		return
	}
	r.becomeFollower(r.term, 0)
	r.role = PreCandidate
	r.votes = map[uint64]bool{r.config.ID: true}
	if r.won() {
		r.stand(false)
		return
	}
	r.ask(coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1, false)
	r.repeatTrialSoon()
}

// trialShare: a trial that is not won is repeated after between one and two of so many
// parts of the election timeout.
const trialShare = 4

// repeatTrialSoon guards against a pause after all members have started together: the
// others refuse a trial for an election timeout from their start, and the first one to
// ask would ask again only a whole timeout after that. A trial raises no term and
// disturbs no leader, so that it may be repeated as often as messages cost little.
// With eight members that start within half a timeout it took 1.05 s until one led, of a
// timeout of 0.6 s.
func (r *Raft) repeatTrialSoon() {
	part := r.config.ElectionTimeout / trialShare
	r.deadline = r.now + part + time.Duration(r.config.Random.Int63n(int64(part)))
}

// stand makes the member a candidate in the next term (paper 5.2). Its own vote
// counts once it is synced: see Written.
func (r *Raft) stand(transfer bool) {
	r.becomeFollower(r.term+1, 0)
	r.role = Candidate
	r.vote = r.config.ID
	r.votes = map[uint64]bool{}
	r.ask(coordpb.MessageKind_MESSAGE_KIND_VOTE, r.term, transfer)
}

func (r *Raft) ask(kind coordpb.MessageKind, term uint64, transfer bool) {
	for _, m := range r.log.membership().members {
		if m.Id == r.config.ID || m.Learner {
			continue
		}
		r.promise(&coordpb.Message{
			Kind: kind, To: m.Id, Term: term,
			LogIndex: r.log.last(), LogTerm: r.log.lastTerm(), LeaderTransfer: transfer,
		})
	}
}

// keepsPromise reports whether a request for a vote must be ignored because this
// member acknowledged a leader less than an election timeout ago. The leader's
// lease and the peace of a serving group rest on it (thesis 4.2.3 and 6.4.1). A
// vote asked for on the leader's own word passes: that leader gave up its lease.
func (r *Raft) keepsPromise(m *coordpb.Message) bool {
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE, coordpb.MessageKind_MESSAGE_KIND_VOTE:
	default:
		return false
	}
	if m.LeaderTransfer {
		return false
	}
	if r.promised.endedBy(m) {
		r.promised.ended = true
	}
	return r.role == Leader || !r.promised.ended && r.now-r.heard < r.config.ElectionTimeout
}

func (r *Raft) handlePreVote(m *coordpb.Message) {
	grant := m.Term > r.term && r.log.upToDate(m.LogIndex, m.LogTerm)
	reply := &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	r.promise(reply)
}

func (r *Raft) handleVote(m *coordpb.Message) {
	free := r.vote == m.From || (r.vote == 0 && r.leader == 0)
	grant := free && r.log.upToDate(m.LogIndex, m.LogTerm)
	if grant {
		r.vote = m.From
		r.resetDeadline()
	}
	r.promise(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !grant})
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
	if !r.won() {
		return
	}
	if r.role == PreCandidate {
		r.stand(false)
		return
	}
	r.becomeLeader()
}

// handleTimeoutNow stands at once on the leader's word (thesis 3.10).
func (r *Raft) handleTimeoutNow(m *coordpb.Message) {
	if r.role == Leader || r.leader != m.From || !r.isVoter(r.config.ID) {
		return
	}
	r.stand(true)
}

func (r *Raft) isVoter(id uint64) bool {
	for _, m := range r.log.membership().members {
		if m.Id == id {
			return !m.Learner
		}
	}
	return false
}

func (r *Raft) won() bool {
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

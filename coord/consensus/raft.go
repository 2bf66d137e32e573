package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Role is the role of a member in its current term.
type Role int

// The roles of paper figure 4, and the pre-vote phase before a candidacy (thesis 9.6).
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Raft is one member of a group.
type Raft struct {
	config Config
	log    *raftLog
	now    time.Duration // latest time passed in; never decreases

	role      Role
	term      uint64
	vote      uint64
	leader    uint64
	persisted *coordpb.HardState

	// leaderContact is the time of the last message from a leader, or of the start: this
	// time is not persisted, so after a restart a member rejects votes as if the leader
	// had contacted it at the start.
	leaderContact    time.Duration
	stickiness       leaderStickiness
	electionDeadline time.Duration // when to start an election
	votes            map[uint64]bool

	leaderState leaderState // leader only
	// steppedDown is this member's latest loss of leadership.
	steppedDown StepDown
	incoming    *incomingSnapshot // snapshot being received; nil if none

	messages  []*coordpb.Message // may be sent at once
	afterSync []*coordpb.Message // sent after the next write is synced
	writing   *Write
	// writeStart is when NextWrite returned writing.
	writeStart        time.Duration
	installedSnapshot *coordpb.Snapshot // received snapshot not yet in a Write
	pendingRestore    *coordpb.Snapshot // received snapshot not yet returned by Committed
	compacted         bool              // a local snapshot is not yet in a Write
	reads             []ReadState
}

// New starts a member from its persisted state. The returned error reports an
// invalid configuration (fault.InvalidRequest) or an inconsistent state
// (fault.Internal).
func New(c Config, d PersistentState, now time.Duration) (*Raft, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	l, err := newLog(d)
	if err != nil {
		return nil, err
	}
	hs := &coordpb.HardState{
		Term: d.HardState.GetTerm(), Vote: d.HardState.GetVote(), Commit: l.commit, Leader: d.HardState.GetLeader(),
	}
	r := &Raft{config: c, log: l, now: now, term: hs.Term, vote: hs.Vote, persisted: hs, leaderContact: now}
	r.stickiness = leaderStickiness{leader: hs.Leader, term: hs.Term}
	r.resetElectionDeadline()
	if hs.Leader == c.ID {
		r.campaignAsFormerLeader()
	}
	return r, nil
}

// Tick advances the time, starts elections and sends heartbeats. It must be called
// at least once per heartbeat interval.
func (r *Raft) Tick(now time.Duration) {
	r.advance(now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.electionDeadline {
		r.startPreVote()
	}
}

// Propose appends commands to the leader's log. The entry of commands[i] gets
// index first+i. Error: fault.NotLeader.
func (r *Raft) Propose(now time.Duration, commands [][]byte) (first, term uint64, err error) {
	r.advance(now)
	if r.role != Leader {
		return 0, 0, fault.New(fault.NotLeader, "member %d is not the leader", r.config.ID)
	}
	if r.leaderState.transferee != 0 {
		return 0, 0, fault.New(fault.NotLeader, "leadership is being transferred to member %d", r.leaderState.transferee)
	}
	first = r.log.last() + 1
	entries := make([]*coordpb.Entry, len(commands))
	for i, data := range commands {
		entries[i] = &coordpb.Entry{Index: first + uint64(i), Term: r.term, Kind: coordpb.EntryKind_ENTRY_KIND_COMMAND, Data: data}
	}
	if err := r.log.append(entries...); err != nil {
		return 0, 0, err
	}
	r.replicate()
	return first, r.term, nil
}

// Step processes a message from another member. An error reports a violated
// invariant: the member must stop.
func (r *Raft) Step(now time.Duration, m *coordpb.Message) error {
	r.advance(now)
	if m.To != r.config.ID {
		return nil
	}
	switch {
	case m.Term > r.term:
		if r.ignoresVoteRequest(m) {
			return nil
		}
		r.handleHigherTerm(m)
	case m.Term < r.term:
		r.rejectLowerTerm(m)
		return nil
	}
	return r.dispatch(m)
}

func (r *Raft) dispatch(m *coordpb.Message) error {
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		r.handlePreVote(m)
	case coordpb.MessageKind_MESSAGE_KIND_VOTE:
		r.handleVote(m)
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, coordpb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		r.handleVoteReply(m)
	case coordpb.MessageKind_MESSAGE_KIND_APPEND:
		return r.handleAppend(m)
	case coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		return r.handleHeartbeat(m)
	case coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK:
		return r.handleChunk(m)
	case coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		r.handleReply(m)
	case coordpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		r.handleTimeoutNow(m)
	}
	return nil
}

// advance moves the time forward and ignores earlier times.
func (r *Raft) advance(now time.Duration) { r.now = max(r.now, now) }

// handleHigherTerm makes this member a follower in the message's term (paper 5.1).
// A pre-vote request names a term that no member has entered yet, so it changes
// nothing.
func (r *Raft) handleHigherTerm(m *coordpb.Message) {
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return
		}
	}
	r.becomeFollower(m.Term, 0)
}

// rejectLowerTerm sends the current term to a member with a lower one. A leader of
// an older term steps down on it. Without the reply, a leader could never reach a
// member whose term is ahead of the group's.
func (r *Raft) rejectLowerTerm(m *coordpb.Message) {
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_APPEND, coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT, coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK:
		r.sendAfterSync(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true})
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		r.sendAfterSync(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (r *Raft) becomeFollower(term, leader uint64) {
	if r.role == Leader && term > r.term {
		r.recordStepDown(r.higherTermReason())
	}
	if term > r.term {
		r.term, r.vote = term, 0
	}
	if r.role == Leader {
		r.leaderState = leaderState{}
	}
	r.role, r.leader, r.votes = Follower, leader, nil
	r.resetElectionDeadline()
}

func (r *Raft) resetElectionDeadline() {
	spread := r.config.Random.Int63n(int64(r.config.ElectionTimeout))
	r.electionDeadline = r.now + r.config.ElectionTimeout + time.Duration(spread)
}

// send queues a message that does not depend on unsynced state.
func (r *Raft) send(m *coordpb.Message) {
	m.From, m.Term = r.config.ID, r.termFor(m)
	r.messages = append(r.messages, m)
}

// sendAfterSync queues a message that must not be sent before the state it reports
// is synced.
func (r *Raft) sendAfterSync(m *coordpb.Message) {
	m.From, m.Term = r.config.ID, r.termFor(m)
	r.afterSync = append(r.afterSync, m)
}

// termFor returns the message's term if it is set, else the current term: pre-votes
// carry the next term.
func (r *Raft) termFor(m *coordpb.Message) uint64 {
	if m.Term != 0 {
		return m.Term
	}
	return r.term
}

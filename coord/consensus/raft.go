package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Role is what a member is at the moment.
type Role int

// The roles of paper figure 4, and the trial before a candidacy (thesis 9.6).
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Raft is one member.
type Raft struct {
	config Config
	log    *raftLog
	now    time.Duration // newest time seen; monotonic

	role      Role
	term      uint64
	vote      uint64
	leader    uint64
	persisted *coordpb.HardState

	// heard is when a leader was heard, or the start: a member that forgot its
	// promise in a crash keeps it by waiting as if it had made it just then.
	heard    time.Duration
	promised promise
	deadline time.Duration // when to stand for election
	votes    map[uint64]bool

	lead leadership // leader only
	// steppedDown is the newest loss of leadership.
	steppedDown StepDown
	incoming    *incoming // snapshot being received

	messages []*coordpb.Message // may be sent at once
	promises []*coordpb.Message // wait for the next write
	writing  *Write
	// writingFrom is when the write went out.
	writingFrom time.Duration
	installed   *coordpb.Snapshot // received snapshot not yet in a write
	restore     *coordpb.Snapshot // received snapshot to hand to the state machine
	compacted   bool              // a local snapshot not yet in a write
	reads       []ReadState
}

// New starts a member from what its folder holds.
func New(c Config, d Durable, now time.Duration) (*Raft, error) {
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
	r := &Raft{config: c, log: l, now: now, term: hs.Term, vote: hs.Vote, persisted: hs, heard: now}
	r.promised = promise{leader: hs.Leader, term: hs.Term}
	r.resetDeadline()
	if hs.Leader == c.ID {
		r.standAsFormerLeader()
	}
	return r, nil
}

// Tick tells the time. It must be called at least each heartbeat interval.
func (r *Raft) Tick(now time.Duration) {
	r.advance(now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.deadline {
		r.campaign()
	}
}

// Propose appends commands to the leader's log. The entry of commands[i] gets
// index first+i. Error: fault.NotLeader.
func (r *Raft) Propose(now time.Duration, commands [][]byte) (first, term uint64, err error) {
	r.advance(now)
	if r.role != Leader {
		return 0, 0, fault.New(fault.NotLeader, "member %d does not lead", r.config.ID)
	}
	if r.lead.transferee != 0 {
		return 0, 0, fault.New(fault.NotLeader, "leadership is being handed to member %d", r.lead.transferee)
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

// Step takes a message from another member. The error tells of a broken
// invariant: the member must stop.
func (r *Raft) Step(now time.Duration, m *coordpb.Message) error {
	r.advance(now)
	if m.To != r.config.ID {
		return nil
	}
	switch {
	case m.Term > r.term:
		if r.keepsPromise(m) {
			return nil
		}
		r.meetHigherTerm(m)
	case m.Term < r.term:
		r.answerLowerTerm(m)
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

// advance moves the time forward, never back.
func (r *Raft) advance(now time.Duration) { r.now = max(r.now, now) }

// meetHigherTerm makes this member a follower in the message's term (paper 5.1).
// A pre-vote asks about a term that nobody is in yet, and so changes nothing.
func (r *Raft) meetHigherTerm(m *coordpb.Message) {
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

// answerLowerTerm tells a member that its term is over. A leader of an older
// term learns so that it is deposed; without the answer a member whose term ran
// ahead could never be reached by the group's leader again.
func (r *Raft) answerLowerTerm(m *coordpb.Message) {
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_APPEND, coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT, coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK:
		r.promise(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true})
	case coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		r.promise(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (r *Raft) becomeFollower(term, leader uint64) {
	if r.role == Leader && term > r.term {
		r.noteStepDown(HigherTerm)
	}
	if term > r.term {
		r.term, r.vote = term, 0
	}
	if r.role == Leader {
		r.lead = leadership{}
	}
	r.role, r.leader, r.votes = Follower, leader, nil
	r.resetDeadline()
}

func (r *Raft) resetDeadline() {
	spread := r.config.Random.Int63n(int64(r.config.ElectionTimeout))
	r.deadline = r.now + r.config.ElectionTimeout + time.Duration(spread)
}

// send queues a message that promises nothing.
func (r *Raft) send(m *coordpb.Message) {
	m.From, m.Term = r.config.ID, r.termFor(m)
	r.messages = append(r.messages, m)
}

// promise queues a message that must follow the sync of what it promises.
func (r *Raft) promise(m *coordpb.Message) {
	m.From, m.Term = r.config.ID, r.termFor(m)
	r.promises = append(r.promises, m)
}

// termFor keeps a term that is already set: pre-votes speak of the next one.
func (r *Raft) termFor(m *coordpb.Message) uint64 {
	if m.Term != 0 {
		return m.Term
	}
	return r.term
}

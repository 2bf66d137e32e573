package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// Write is state that must be written to disk in one atomic step.
type Write struct {
	HardState *coordpb.HardState
	// Entries replace all stored entries from Entries[0].Index on.
	Entries []*coordpb.Entry
	// Snapshot replaces the stored snapshot; nil keeps it.
	Snapshot *coordpb.Snapshot
	// Reset removes every stored entry before Entries are added: the snapshot came from
	// the leader, and the old log does not connect to it.
	Reset bool
	// FirstKeptIndex is the first index still needed; entries before it may be deleted.
	FirstKeptIndex uint64
	// Sync is set if Messages depend on this write. Without it, the write contains
	// nothing but a new commit index and may be skipped.
	Sync bool
	// Messages may be sent only after the sync.
	Messages []*coordpb.Message
}

// Messages returns the messages that may be sent at once, each once.
func (r *Raft) Messages() []*coordpb.Message {
	m := r.messages
	r.messages = nil
	return m
}

// NextWrite returns the next write. It returns nil if there is nothing to write or the
// previous write is not completed.
func (r *Raft) NextWrite() *Write {
	if r.writing != nil {
		return nil
	}
	w := &Write{Messages: r.afterSync, FirstKeptIndex: r.log.baseIndex}
	r.fillWrite(w)
	if !w.Sync && len(w.Messages) == 0 {
		return nil
	}
	r.afterSync = nil
	w.HardState = &coordpb.HardState{Term: r.term, Vote: r.vote, Commit: min(r.log.commit, r.log.last()), Leader: r.leader}
	r.writing, r.writeStart = w, r.now
	return w
}

func (r *Raft) fillWrite(w *Write) {
	w.Sync = r.persisted.Term != r.term || r.persisted.Vote != r.vote
	if r.installedSnapshot != nil {
		w.Snapshot, w.Reset, w.Sync = r.installedSnapshot, true, true
		r.installedSnapshot = nil
	}
	if r.compacted {
		w.Snapshot, w.Sync = r.log.snapshot, true
		r.compacted = false
	}
	if r.log.stable < r.log.last() {
		w.Entries, w.Sync = r.log.slice(r.log.stable, r.log.last()), true
	}
}

// Apply is what the state machine must apply next: the snapshot, if any, before the
// entries.
type Apply struct {
	Snapshot *coordpb.Snapshot
	Entries  []*coordpb.Entry
}

// Committed returns what is committed and not yet returned. Followers return only what is synced
// on this member. A leader also returns what only a majority of the others has synced (thesis
// 10.2.1): otherwise callers would wait for its disk, although the entries cannot be lost.
func (r *Raft) Committed() Apply {
	var a Apply
	if r.pendingRestore != nil {
		if r.installedSnapshot != nil || (r.writing != nil && r.writing.Reset) {
			return a
		}
		a.Snapshot, r.pendingRestore = r.pendingRestore, nil
		r.log.delivered = max(r.log.delivered, a.Snapshot.Meta.Index)
	}
	through := r.log.commit
	if r.role != Leader {
		through = min(through, r.log.stable)
	}
	if through > r.log.delivered {
		a.Entries = r.log.slice(r.log.delivered, through)
		r.log.delivered = through
	}
	return a
}

// Status describes the state of a member.
type Status struct {
	ID        uint64
	Term      uint64
	Role      Role
	Leader    uint64
	Commit    uint64
	LastIndex uint64
	Members   []*coordpb.Member // must not be modified
	// LeaseUntil is the time until which this member may act as the leader, on the clock of
	// Tick; 0: no lease. The caller must compare it with the current time when it acts.
	LeaseUntil time.Duration
	// LeaderReadyIndex is the index that must be applied before the leader acts: until then its
	// state may lack entries committed by earlier leaders.
	LeaderReadyIndex uint64
	// MatchIndex is, on a leader, the highest index known to be synced on each member.
	MatchIndex map[uint64]uint64
	// SinceContact is, on a leader, the time since each other member's last reply, or since the
	// leader started to track the member if that is later.
	SinceContact map[uint64]time.Duration
	// Responded reports, on a leader, which other members have replied in its term.
	Responded map[uint64]bool
	// SteppedDown is this member's latest loss of leadership.
	SteppedDown StepDown
}

// Status returns the state of this member.
func (r *Raft) Status() Status {
	s := Status{
		ID: r.config.ID, Term: r.term, Role: r.role, Leader: r.leader,
		Commit: r.log.commit, LastIndex: r.log.last(), Members: r.log.membership().members,
		SteppedDown: r.steppedDown,
	}
	if r.role != Leader {
		return s
	}
	s.LeaseUntil, s.LeaderReadyIndex = r.leaderState.leaseUntil, r.leaderState.termStart
	s.MatchIndex = map[uint64]uint64{r.config.ID: r.log.stable}
	s.SinceContact, s.Responded = map[uint64]time.Duration{}, map[uint64]bool{}
	for id, p := range r.leaderState.progress {
		s.MatchIndex[id] = p.match
		s.SinceContact[id] = r.now - max(p.lastReply, p.trackedSince)
		s.Responded[id] = p.hasReplied
	}
	return s
}

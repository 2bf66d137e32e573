package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

// Write is what must reach the disk together, in one atomic step.
type Write struct {
	HardState *coordpb.HardState
	// Entries replace everything from Entries[0].Index on.
	Entries []*coordpb.Entry
	// Snapshot replaces the stored one.
	Snapshot *coordpb.Snapshot
	// Reset drops every stored entry before Entries are added: the snapshot came
	// from the leader and the old log does not lead up to it.
	Reset bool
	// KeepFrom is the first index still needed; entries before it may go.
	KeepFrom uint64
	// Sync tells that Messages promise something of this write. Without it the
	// write has no more than a new commit index and need not be made at all.
	Sync bool
	// Messages may be sent after the sync.
	Messages []*coordpb.Message
}

// Messages returns the messages that may be sent at once.
func (r *Raft) Messages() []*coordpb.Message {
	m := r.messages
	r.messages = nil
	return m
}

// NextWrite returns the next write, or nil when there is none or one is out.
func (r *Raft) NextWrite() *Write {
	if r.writing != nil {
		return nil
	}
	w := &Write{Messages: r.promises, KeepFrom: r.log.baseIndex}
	r.fillWrite(w)
	if !w.Sync && len(w.Messages) == 0 {
		return nil
	}
	r.promises = nil
	w.HardState = &coordpb.HardState{Term: r.term, Vote: r.vote, Commit: min(r.log.commit, r.log.last()), Leader: r.leader}
	r.writing, r.writingFrom = w, r.now
	return w
}

func (r *Raft) fillWrite(w *Write) {
	w.Sync = r.persisted.Term != r.term || r.persisted.Vote != r.vote
	if r.installed != nil {
		w.Snapshot, w.Reset, w.Sync = r.installed, true, true
		r.installed = nil
	}
	if r.compacted {
		w.Snapshot, w.Sync = r.log.snapshot, true
		r.compacted = false
	}
	if r.log.stable < r.log.last() {
		w.Entries, w.Sync = r.log.slice(r.log.stable, r.log.last()), true
	}
}

// Apply is what the state machine takes next: a snapshot first, if there is one.
type Apply struct {
	Snapshot *coordpb.Snapshot
	Entries  []*coordpb.Entry
}

// Committed returns what is committed and synced here and has not come out yet.
func (r *Raft) Committed() Apply {
	var a Apply
	if r.restore != nil {
		if r.installed != nil || (r.writing != nil && r.writing.Reset) {
			return a
		}
		a.Snapshot, r.restore = r.restore, nil
		r.log.handed = max(r.log.handed, a.Snapshot.Meta.Index)
	}
	through := min(r.log.commit, r.log.stable)
	if through > r.log.handed {
		a.Entries = r.log.slice(r.log.handed, through)
		r.log.handed = through
	}
	return a
}

// Status is how a member stands.
type Status struct {
	ID      uint64
	Term    uint64
	Role    Role
	Leader  uint64
	Commit  uint64
	Last    uint64
	Members []*coordpb.Member // not to be changed
	// Lease is the time until which this member may act as the leader; 0: not at
	// all. The holder compares it with the time at which it acts.
	Lease time.Duration
	// ActFrom is the index that must be applied before the leader acts: its state
	// is older than what earlier leaders committed until then.
	ActFrom uint64
	Matched map[uint64]uint64
	// Silent tells a leader how long it has not heard of each other member.
	Silent map[uint64]time.Duration
	// Heard tells a leader which other members have replied in its term.
	Heard map[uint64]bool
	// SteppedDown is the newest loss of leadership of this member.
	SteppedDown StepDown
}

// Status returns how this member stands.
func (r *Raft) Status() Status {
	s := Status{
		ID: r.config.ID, Term: r.term, Role: r.role, Leader: r.leader,
		Commit: r.log.commit, Last: r.log.last(), Members: r.log.membership().members,
		SteppedDown: r.steppedDown,
	}
	if r.role != Leader {
		return s
	}
	s.Lease, s.ActFrom = r.lead.lease, r.lead.firstOwn
	s.Matched = map[uint64]uint64{r.config.ID: r.log.stable}
	s.Silent, s.Heard = map[uint64]time.Duration{}, map[uint64]bool{}
	for id, p := range r.lead.progress {
		s.Matched[id] = p.match
		s.Silent[id] = r.now - max(p.active, p.added)
		s.Heard[id] = p.everActive
	}
	return s
}

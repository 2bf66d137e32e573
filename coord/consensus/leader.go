package consensus

import (
	"slices"
	"time"

	"cowsliptiller/coord/coordpb"
)

// leaderState is the volatile state of a leader; it is empty in other roles.
type leaderState struct {
	progress      map[uint64]*progress // by id of the other members
	termStart     uint64               // index of the empty entry that starts this term
	round         uint64               // latest heartbeat round
	unackedRounds []sentRound          // rounds not yet acknowledged by a quorum, oldest first
	// quorumContact is when the latest round acknowledged by a quorum was sent, later by the pauses
	// of this member since.
	quorumContact time.Duration
	leaseUntil    time.Duration // end of the lease
	nextHeartbeat time.Duration // when the next heartbeat round is due

	pendingReads     []pendingRead
	transferee       uint64
	transferDeadline time.Duration
}

type sentRound struct {
	round uint64
	at    time.Duration
}

func (r *Raft) becomeLeader() {
	r.role, r.leader, r.votes = Leader, r.config.ID, nil
	r.leaderState = leaderState{progress: map[uint64]*progress{}, termStart: r.log.last() + 1, quorumContact: r.now}
	r.updateProgress()
	// A leader can commit entries of earlier terms only together with one of its own
	// term (paper 5.4.2 and 8).
	empty := &coordpb.Entry{Index: r.leaderState.termStart, Term: r.term, Kind: coordpb.EntryKind_ENTRY_KIND_EMPTY}
	_ = r.log.append(empty)
	r.replicate()
	r.heartbeat()
}

// writeStallTimeouts is how many election timeouts a leader's write may take: 2 s
// with the default settings. Pauses of a busy disk are shorter, and stepping down on
// those would replace a short wait by an election.
const writeStallTimeouts = 4

func (r *Raft) isWriteStalled() bool {
	return r.writing != nil && r.now-r.writeStart >= writeStallTimeouts*r.config.ElectionTimeout
}

// transferToWorkingDisk starts a transfer to a voter that has synced entries which this
// leader has not, or all of them. It returns false if there is none: the disk of a
// successor without them may be as slow as this one's.
func (r *Raft) transferToWorkingDisk() bool {
	to := r.BestSuccessor()
	if to == 0 {
		return false
	}
	match := r.leaderState.progress[to].match
	if match < r.log.last() && match <= r.log.stable {
		return false
	}
	return r.Transfer(r.now, to) == nil
}

// tickLeader sends due heartbeats and steps down if the leader has lost its quorum,
// its disk stalls or a transfer has expired.
func (r *Raft) tickLeader() {
	if r.now-r.leaderState.quorumContact >= r.config.ElectionTimeout {
		// A leader that is partitioned, or whose process was paused, must step down:
		// another member may have been elected, and callers here would wait for
		// commits that cannot succeed (thesis 6.2).
		r.stepDown(NoQuorumContact)
		return
	}
	if r.isWriteStalled() && r.leaderState.transferee == 0 && !r.transferToWorkingDisk() {
		// A hanging disk returns no error. The leader would keep sending heartbeats, so
		// no election would start while every caller waits for the sync. This member
		// cannot be elected again before the write completes, because its own vote needs
		// another write.
		r.stepDown(WriteStalled)
		return
	}
	if r.leaderState.transferee != 0 && r.now >= r.leaderState.transferDeadline {
		// TIMEOUT_NOW may still be in flight, so the lease cannot be renewed in this
		// term. A new term is better than a leader without a lease.
		r.stepDown(TransferExpired)
		return
	}
	if r.now >= r.leaderState.nextHeartbeat {
		r.heartbeat()
	}
	r.promoteLearner()
}

// heartbeat starts a heartbeat round. A member that replies to it has acknowledged
// this leader after the round was sent; leases and read indexes rely on that.
func (r *Raft) heartbeat() {
	r.leaderState.round++
	r.leaderState.nextHeartbeat = r.now + r.config.HeartbeatInterval
	r.leaderState.unackedRounds = append(r.leaderState.unackedRounds, sentRound{round: r.leaderState.round, at: r.now})
	for _, m := range r.log.membership().members {
		p := r.leaderState.progress[m.Id]
		if p == nil {
			continue
		}
		r.send(&coordpb.Message{
			Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: m.Id,
			Commit: min(p.match, r.log.commit), ReadContext: r.leaderState.round,
		})
	}
	r.updateAckedRound()
}

// updateAckedRound finds the latest round acknowledged by a quorum, renews the lease
// from the time that round was sent and releases the reads that waited for it.
func (r *Raft) updateAckedRound() {
	acked := r.quorumValue(r.leaderState.round, func(p *progress) uint64 { return p.ackedRound })
	sent := r.leaderState.unackedRounds
	for len(sent) > 0 && sent[0].round <= acked {
		// A round that was sent before a pause must not undo the shift by that pause.
		r.leaderState.quorumContact = max(r.leaderState.quorumContact, sent[0].at)
		r.renewLease(sent[0].at)
		sent = sent[1:]
	}
	r.leaderState.unackedRounds = sent
	r.releaseReads(acked)
}

// renewLease counts the lease from the sending of the heartbeat, so that it ends
// before any member that replied may vote again: that member counts a full election
// timeout from its later receipt. The lease is compared with the current time on use,
// so a process that was paused finds it expired. During a transfer the lease must not
// be renewed, because vote requests after TIMEOUT_NOW bypass leader stickiness.
func (r *Raft) renewLease(sent time.Duration) {
	if r.leaderState.transferee != 0 {
		return
	}
	r.leaderState.leaseUntil = sent + r.config.ElectionTimeout*leaseNumerator/leaseDenominator
}

// quorumValue returns the highest value that a majority of voters has reached. own
// is this member's value and valueOf returns another member's.
func (r *Raft) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range r.log.membership().members {
		switch {
		case m.Learner:
		case m.Id == r.config.ID:
			values = append(values, own)
		case r.leaderState.progress[m.Id] != nil:
			values = append(values, valueOf(r.leaderState.progress[m.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// commitByQuorum commits the entries that a majority has synced if the last of them
// is of this term, and reports whether the commit index moved. Entries of earlier
// terms are never committed by counting replicas: a later leader could still
// overwrite them, and an acknowledged change would be lost (paper 5.4.2, figure 8).
// They are committed with the first entry of this term.
func (r *Raft) commitByQuorum() bool {
	index := r.quorumValue(r.log.stable, func(p *progress) uint64 { return p.match })
	if index <= r.log.commit {
		return false
	}
	if term, ok := r.log.term(index); !ok || term != r.term {
		return false
	}
	r.log.commit = index
	return true
}

// afterCommit starts waiting reads and sends the new commit index to the members.
func (r *Raft) afterCommit() {
	r.assignReadRounds()
	r.broadcastCommit()
}

func (r *Raft) broadcastCommit() {
	for _, m := range r.log.membership().members {
		if p := r.leaderState.progress[m.Id]; p != nil {
			r.sendAppend(m.Id, p, p.state == replicating)
		}
	}
}

// WriteSynced must be called when everything in w is synced. It completes w, so that
// NextWrite can return another one.
func (r *Raft) WriteSynced(now time.Duration, w *Write) {
	r.advance(now)
	r.writing = nil
	if w.HardState != nil {
		r.persisted = w.HardState
	}
	r.advanceStable(w.Entries)
	switch r.role {
	case Candidate:
		if r.persisted.Term == r.term && r.persisted.Vote == r.config.ID {
			r.votes[r.config.ID] = true
			r.countVotes()
		}
	case Leader:
		if r.commitByQuorum() {
			r.afterCommit()
		}
	}
}

// advanceStable marks written entries as synced, unless a later leader replaced them
// during the write. If the last entry still has its term, all entries before it are
// unchanged too (paper 5.3), even if a snapshot was installed since.
func (r *Raft) advanceStable(entries []*coordpb.Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if term, held := r.log.term(last.Index); held && term == last.Term {
		r.log.stable = max(r.log.stable, last.Index)
	}
}

package consensus

import (
	"slices"
	"time"

	"cowsliptiller/coord/coordpb"
)

// leadership is what only a leader holds.
type leadership struct {
	progress  map[uint64]*progress // every other member
	firstOwn  uint64               // index of the empty entry of this term
	round     uint64               // newest heartbeat round
	roundSent []sentRound          // rounds that no quorum has answered yet, oldest first
	contact   time.Duration        // when the newest round that a quorum answered was sent
	lease     time.Duration        // this member may act as leader before this time
	beat      time.Duration        // when the next heartbeat is due

	pending    []pendingRead
	transferee uint64
	transferBy time.Duration
}

type sentRound struct {
	round uint64
	at    time.Duration
}

func (r *Raft) becomeLeader() {
	r.role, r.leader, r.votes = Leader, r.config.ID, nil
	r.lead = leadership{progress: map[uint64]*progress{}, firstOwn: r.log.last() + 1, contact: r.now}
	r.followMembership()
	// An entry of its own term lets the leader commit what earlier leaders left
	// (paper 5.4.2 and 8).
	empty := &coordpb.Entry{Index: r.lead.firstOwn, Term: r.term, Kind: coordpb.EntryKind_ENTRY_KIND_EMPTY}
	_ = r.log.append(empty)
	r.replicate()
	r.heartbeat()
}

// stalledTimeouts is how many election timeouts a leader's write may take. Two
// seconds with the default settings: a busy disk's pauses are shorter, and giving
// up on those would trade a short wait for an election.
const stalledTimeouts = 4

// tickLeader sends heartbeats and checks that the leader still reaches a quorum.
func (r *Raft) tickLeader() {
	if r.now-r.lead.contact >= r.config.ElectionTimeout {
		// A leader that is cut off, or was frozen, must not go on: another may have
		// been elected meanwhile, and callers here would wait for commits that
		// cannot come (thesis 6.2).
		r.stepDown(NoQuorumContact)
		return
	}
	if r.writing != nil && r.now-r.writingFrom >= stalledTimeouts*r.config.ElectionTimeout {
		// A disk that hangs gives no error. The leader would go on to send heartbeats,
		// and nobody would stand, while every caller waits for its sync. It cannot be
		// elected again before the write ends, as its own vote needs another one.
		r.stepDown(WriteStalled)
		return
	}
	if r.lead.transferee != 0 && r.now >= r.lead.transferBy {
		// The order to stand may still be under way. In this term the lease is
		// gone, so let a new term begin rather than lead without one.
		r.stepDown(TransferExpired)
		return
	}
	if r.now >= r.lead.beat {
		r.heartbeat()
	}
	r.promoteLearner()
}

// heartbeat starts a round: who answers it has acknowledged this leader after
// the round was sent. Leases and read index count rounds.
func (r *Raft) heartbeat() {
	r.lead.round++
	r.lead.beat = r.now + r.config.HeartbeatInterval
	r.lead.roundSent = append(r.lead.roundSent, sentRound{round: r.lead.round, at: r.now})
	for _, m := range r.log.membership().members {
		p := r.lead.progress[m.Id]
		if p == nil {
			continue
		}
		r.send(&coordpb.Message{
			Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: m.Id,
			Commit: min(p.match, r.log.commit), ReadContext: r.lead.round,
		})
	}
	r.countRounds()
}

// countRounds finds the newest round that a quorum has answered, renews the
// lease from when it was sent, and frees the reads that waited for it.
func (r *Raft) countRounds() {
	acked := r.quorumOf(r.lead.round, func(p *progress) uint64 { return p.round })
	sent := r.lead.roundSent
	for len(sent) > 0 && sent[0].round <= acked {
		r.lead.contact = sent[0].at
		r.renewLease(sent[0].at)
		sent = sent[1:]
	}
	r.lead.roundSent = sent
	r.freeReads(acked)
}

// renewLease counts from the sending, so that the holder's lease ends before any
// member that answered is free to vote: that one counts a whole election timeout
// from its later receipt. A frozen process finds its lease ended when it wakes,
// as the lease is compared with the time then. A leader that has ordered another
// member to stand has no lease left: that order overrides the others' promise.
func (r *Raft) renewLease(sent time.Duration) {
	if r.lead.transferee != 0 {
		return
	}
	r.lead.lease = sent + r.config.ElectionTimeout*leaseNumerator/leaseDenominator
}

// quorumOf returns the highest value that a majority of voters has reached.
func (r *Raft) quorumOf(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range r.log.membership().members {
		switch {
		case m.Learner:
		case m.Id == r.config.ID:
			values = append(values, own)
		case r.lead.progress[m.Id] != nil:
			values = append(values, of(r.lead.progress[m.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// commitByQuorum commits what a majority has synced, if it is of this term. An
// entry of an earlier term is never committed by counting: a later leader could
// still overwrite it, and a caller's acknowledged change would be lost (paper
// 5.4.2, figure 8). It is committed with the first entry of this term.
func (r *Raft) commitByQuorum() bool {
	index := r.quorumOf(r.log.stable, func(p *progress) uint64 { return p.match })
	if index <= r.log.commit {
		return false
	}
	if term, ok := r.log.term(index); !ok || term != r.term {
		return false
	}
	r.log.commit = index
	return true
}

// afterCommit tells the others of a higher commit index.
func (r *Raft) afterCommit() {
	r.startReads()
	r.tellCommit()
}

func (r *Raft) tellCommit() {
	for _, m := range r.log.membership().members {
		if p := r.lead.progress[m.Id]; p != nil {
			r.sendAppend(m.Id, p, p.state == replicating)
		}
	}
}

// Written must be called when everything in a write is synced.
func (r *Raft) Written(now time.Duration, w *Write) {
	r.advance(now)
	r.writing = nil
	if w.HardState != nil {
		r.persisted = w.HardState
	}
	r.noteStable(w.Entries)
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

// noteStable counts written entries as synced, unless a later leader replaced
// them while they were being written. Where the last one still has its term, all
// before it are the same too (paper 5.3), also behind a snapshot that came since.
func (r *Raft) noteStable(entries []*coordpb.Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if term, held := r.log.term(last.Index); held && term == last.Term {
		r.log.stable = max(r.log.stable, last.Index)
	}
}

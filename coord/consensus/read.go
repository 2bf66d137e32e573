package consensus

import (
	"time"

	"cowsliptiller/coord/fault"
)

// ReadState is the result of ReadIndex: once Index is applied, the read may be served.
type ReadState struct {
	ID    uint64
	Index uint64
}

type pendingRead struct {
	id    uint64
	index uint64 // 0: waiting for the first commit of this term
	round uint64 // heartbeat round that a quorum must acknowledge
}

// ReadIndex requests an index at or after everything that was committed before the
// call. Reads returns the result under the same id, unless this member stops leading.
// Error: fault.NotLeader.
//
// A leader that was deposed without noticing would serve stale state: a withdrawn key
// would be accepted. To prevent this, a quorum must acknowledge a heartbeat sent after
// the call, and the leader first commits an entry of its own term, because its commit
// index may be behind before that (thesis 6.4).
func (r *Raft) ReadIndex(now time.Duration, id uint64) error {
	r.advance(now)
	if r.role != Leader {
		return fault.New(fault.NotLeader, "member %d does not lead", r.config.ID)
	}
	r.leaderState.pendingReads = append(r.leaderState.pendingReads, pendingRead{id: id})
	r.assignReadRounds()
	return nil
}

// assignReadRounds assigns new reads their index and the round that they wait for. Reads
// that arrive while a round is outstanding share the next one.
func (r *Raft) assignReadRounds() {
	if r.log.commit < r.leaderState.termStart {
		return
	}
	assigned, outstanding := false, false
	for i := range r.leaderState.pendingReads {
		p := &r.leaderState.pendingReads[i]
		if p.index == 0 {
			p.index, p.round = r.log.commit, r.leaderState.round+1
			assigned = true
			continue
		}
		outstanding = outstanding || p.round <= r.leaderState.round
	}
	if assigned && !outstanding {
		r.heartbeat()
	}
}

// releaseReads moves the reads whose round is acknowledged to Reads, and starts the next
// round if others wait for it.
func (r *Raft) releaseReads(acked uint64) {
	waiting, roundNeeded := r.leaderState.pendingReads[:0:0], false
	for _, p := range r.leaderState.pendingReads {
		if p.index != 0 && p.round <= acked {
			r.reads = append(r.reads, ReadState{ID: p.id, Index: p.index})
			continue
		}
		roundNeeded = roundNeeded || (p.index != 0 && p.round > r.leaderState.round)
		waiting = append(waiting, p)
	}
	released := len(waiting) < len(r.leaderState.pendingReads)
	r.leaderState.pendingReads = waiting
	if released && roundNeeded {
		r.heartbeat()
	}
}

// Reads returns the reads that may be served, each once.
func (r *Raft) Reads() []ReadState {
	s := r.reads
	r.reads = nil
	return s
}

package consensus

import (
	"time"

	"cowsliptiller/coord/fault"
)

// ReadState answers ReadIndex: once Index is applied, the read may be served.
type ReadState struct {
	ID    uint64
	Index uint64
}

type pendingRead struct {
	id    uint64
	index uint64 // 0: waits for the first commit of this term
	round uint64
}

// ReadIndex asks for an index at or after everything that was committed before
// the call. The answer comes out of Reads under the same id, unless this member
// stops leading. Error: fault.NotLeader.
//
// A leader that was deposed without knowing would serve old state: a withdrawn
// key would be seen as good. It holds because a quorum must answer a heartbeat
// that is sent after the call, and because the leader first commits an entry of
// its own term, before which its commit index may be behind (thesis 6.4).
func (r *Raft) ReadIndex(now time.Duration, id uint64) error {
	r.advance(now)
	if r.role != Leader {
		return fault.New(fault.NotLeader, "member %d does not lead", r.config.ID)
	}
	r.lead.pending = append(r.lead.pending, pendingRead{id: id})
	r.startReads()
	return nil
}

// startReads gives new reads their index and the round they wait for. Reads that
// come while a round is out share the next one.
func (r *Raft) startReads() {
	if r.log.commit < r.lead.firstOwn {
		return
	}
	fresh, out := false, false
	for i := range r.lead.pending {
		p := &r.lead.pending[i]
		if p.index == 0 {
			p.index, p.round = r.log.commit, r.lead.round+1
			fresh = true
			continue
		}
		out = out || p.round <= r.lead.round
	}
	if fresh && !out {
		r.heartbeat()
	}
}

func (r *Raft) freeReads(acked uint64) {
	waiting, next := r.lead.pending[:0:0], false
	for _, p := range r.lead.pending {
		if p.index != 0 && p.round <= acked {
			r.reads = append(r.reads, ReadState{ID: p.id, Index: p.index})
			continue
		}
		next = next || (p.index != 0 && p.round > r.lead.round)
		waiting = append(waiting, p)
	}
	freed := len(waiting) < len(r.lead.pending)
	r.lead.pending = waiting
	if freed && next {
		r.heartbeat()
	}
}

// Reads returns the reads that may be served.
func (r *Raft) Reads() []ReadState {
	s := r.reads
	r.reads = nil
	return s
}

package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// incoming is a snapshot of which some chunks have come.
type incoming struct {
	meta *coordpb.SnapshotMeta
	from uint64
	data []byte
}

// Compact takes a snapshot of the state at an index that came out of Committed,
// and drops the entries up to keepAfter. Some entries before the snapshot are
// worth keeping, so that a member a little behind needs no snapshot (paper 7).
func (r *Raft) Compact(index, keepAfter uint64, data []byte) error {
	if index <= r.log.snapshot.Meta.Index {
		return nil
	}
	term, held := r.log.term(index)
	if !held || index > r.log.handed {
		return fault.New(fault.Internal, "consensus: snapshot at %d, but entries went out up to %d", index, r.log.handed)
	}
	meta := &coordpb.SnapshotMeta{Index: index, Term: term, Membership: &coordpb.Membership{Members: r.log.membershipBy(index)}}
	r.log.compact(&coordpb.Snapshot{Meta: meta, Data: data}, keepAfter)
	r.compacted = true
	return nil
}

// startSnapshot begins to send the newest snapshot. The progress keeps it: a
// newer one taken meanwhile does not mix into it.
func (r *Raft) startSnapshot(id uint64, p *progress) {
	p.state, p.inflight, p.waiting = snapshotting, nil, false
	p.snapshot, p.offset = r.log.snapshot, 0
	r.sendChunk(id, p)
}

func (r *Raft) sendChunk(id uint64, p *progress) {
	size := uint64(len(p.snapshot.Data))
	end := min(p.offset+uint64(r.config.ChunkBytes), size)
	p.chunkSent = r.now
	r.send(&coordpb.Message{
		Kind: coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK, To: id,
		Snapshot: p.snapshot.Meta, ChunkOffset: p.offset, Chunk: p.snapshot.Data[p.offset:end], LastChunk: end == size,
	})
}

// resendChunk sends the chunk again when its answer is overdue.
func (r *Raft) resendChunk(id uint64, p *progress) {
	carried := time.Duration(r.config.ChunkBytes) * time.Second / time.Duration(r.config.LinkBytesPerSecond)
	if r.now-p.chunkSent >= r.config.ElectionTimeout+carried {
		r.sendChunk(id, p)
	}
}

func (r *Raft) handleSnapshotReply(m *coordpb.Message, p *progress) {
	if p.state != snapshotting || m.LogIndex != p.snapshot.Meta.Index {
		return
	}
	if m.ChunkOffset > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.ChunkOffset == p.offset && !m.Reject {
		return // a repeated answer; the chunk after it is under way
	}
	p.offset = m.ChunkOffset
	r.sendChunk(m.From, p)
}

// handleChunk collects a snapshot in order and answers which byte it needs next.
func (r *Raft) handleChunk(m *coordpb.Message) error {
	if err := r.hear(m.From); err != nil {
		return err
	}
	if m.Snapshot.GetIndex() <= r.log.commit {
		r.promise(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, LogIndex: r.log.commit})
		return nil
	}
	if !r.incoming.matches(m) {
		r.incoming = &incoming{meta: m.Snapshot, from: m.From}
	}
	in := r.incoming
	fits := m.ChunkOffset == uint64(len(in.data))
	if fits {
		in.data = append(in.data, m.Chunk...)
	}
	if fits && m.LastChunk {
		r.incoming = nil
		r.install(&coordpb.Snapshot{Meta: in.meta, Data: in.data})
		r.promise(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, LogIndex: in.meta.Index})
		return nil
	}
	r.send(&coordpb.Message{
		Kind: coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY, To: m.From,
		LogIndex: in.meta.Index, ChunkOffset: uint64(len(in.data)), Reject: !fits,
	})
	return nil
}

func (in *incoming) matches(m *coordpb.Message) bool {
	return in != nil && in.from == m.From && in.meta.Index == m.Snapshot.Index && in.meta.Term == m.Snapshot.Term
}

// install takes a whole snapshot. Where the log already holds its last entry
// the log is right up to there and only the commit index moves (paper 7).
func (r *Raft) install(s *coordpb.Snapshot) {
	if term, held := r.log.term(s.Meta.Index); held && term == s.Meta.Term {
		r.commitTo(s.Meta.Index)
		return
	}
	r.log.reset(s)
	r.installed, r.restore, r.compacted = s, s, false
}

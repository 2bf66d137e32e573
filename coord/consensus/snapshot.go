package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	meta *coordpb.SnapshotMeta
	from uint64
	data []byte
}

// Compact stores data as the snapshot of the state at an index returned by Committed, and
// removes the entries up to keepAfter. Keeping some entries before the snapshot lets a
// member that is slightly behind catch up without it (paper 7).
func (r *Raft) Compact(index, keepAfter uint64, data []byte) error {
	if index <= r.log.snapshot.Meta.Index {
		return nil
	}
	term, held := r.log.term(index)
	if !held || index > r.log.delivered {
		return fault.New(fault.Internal, "consensus: snapshot at index %d, but entries were delivered only up to %d", index, r.log.delivered)
	}
	meta := &coordpb.SnapshotMeta{Index: index, Term: term, Membership: &coordpb.Membership{Members: r.log.membershipAt(index)}}
	r.log.compact(&coordpb.Snapshot{Meta: meta, Data: data}, keepAfter)
	r.compacted = true
	return nil
}

// startSnapshot starts sending the latest snapshot. The progress keeps a reference to
// it, so that chunks of a snapshot taken later are not mixed in.
func (r *Raft) startSnapshot(id uint64, p *progress) {
	p.state, p.inflight, p.probeSent = snapshotting, nil, false
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

// resendChunk sends the chunk again if its reply is overdue: an election timeout plus
// the time that the slowest link needs for a chunk.
func (r *Raft) resendChunk(id uint64, p *progress) {
	transferTime := time.Duration(r.config.ChunkBytes) * time.Second / time.Duration(r.config.LinkBytesPerSecond)
	if r.now-p.chunkSent >= r.config.ElectionTimeout+transferTime {
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
		return // duplicate reply; the next chunk is already in flight
	}
	p.offset = m.ChunkOffset
	r.sendChunk(m.From, p)
}

// handleChunk collects the chunks of a snapshot in order and replies with the offset of
// the next byte it needs.
func (r *Raft) handleChunk(m *coordpb.Message) error {
	if err := r.recordLeaderContact(m.From); err != nil {
		return err
	}
	if m.Snapshot.GetIndex() <= r.log.commit {
		r.sendAfterSync(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, LogIndex: r.log.commit})
		return nil
	}
	if !r.incoming.matches(m) {
		r.incoming = &incomingSnapshot{meta: m.Snapshot, from: m.From}
	}
	in := r.incoming
	fits := m.ChunkOffset == uint64(len(in.data))
	if fits {
		in.data = append(in.data, m.Chunk...)
	}
	if fits && m.LastChunk {
		r.incoming = nil
		r.install(&coordpb.Snapshot{Meta: in.meta, Data: in.data})
		r.sendAfterSync(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, LogIndex: in.meta.Index})
		return nil
	}
	r.send(&coordpb.Message{
		Kind: coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY, To: m.From,
		LogIndex: in.meta.Index, ChunkOffset: uint64(len(in.data)), Reject: !fits,
	})
	return nil
}

func (in *incomingSnapshot) matches(m *coordpb.Message) bool {
	return in != nil && in.from == m.From && in.meta.Index == m.Snapshot.Index && in.meta.Term == m.Snapshot.Term
}

// install installs a complete snapshot. If the log already holds the snapshot's last
// entry, the log is correct up to that entry and only the commit index moves (paper 7).
func (r *Raft) install(s *coordpb.Snapshot) {
	if term, held := r.log.term(s.Meta.Index); held && term == s.Meta.Term {
		r.commitTo(s.Meta.Index)
		return
	}
	r.log.reset(s)
	r.installedSnapshot, r.pendingRestore, r.compacted = s, s, false
}

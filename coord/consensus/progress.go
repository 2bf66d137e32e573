package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

type progressState int

const (
	probing      progressState = iota // the matching index is unknown: one message at a time
	replicating                       // appends are pipelined
	snapshotting                      // a snapshot is being sent
)

// progress is the leader's replication state of another member.
type progress struct {
	state      progressState
	match      uint64           // highest index known to be synced on the member
	next       uint64           // index of the next entry to send
	probeSent  bool             // probing: a message is unanswered
	inflight   []inflightAppend // oldest first
	ackedRound uint64           // latest heartbeat round acknowledged
	lastReply  time.Duration

	snapshot     *coordpb.Snapshot // being sent
	offset       uint64            // of the next byte to send
	chunkSent    time.Duration
	catchUpIndex uint64 // learners: index to reach in this catch-up round
	catchUpStart time.Duration
	hasReplied   bool
	trackedSince time.Duration // when the leader started to track the member
	disk         string        // id of the member's data folder; empty if unknown
}

// inflightAppend is an append message that has not been acknowledged.
type inflightAppend struct {
	lastIndex uint64 // of its entries
	bytes     int    // encoded size of its entries
}

// inflightFull reports whether the limit of unacknowledged messages or bytes to a
// member is reached.
func (r *Raft) inflightFull(p *progress) bool {
	bytes := 0
	for _, s := range p.inflight {
		bytes += s.bytes
	}
	return len(p.inflight) >= r.config.MaxInflight || bytes >= r.config.MaxInflightBytes
}

func (r *Raft) newProgress() *progress {
	return &progress{next: r.log.last() + 1, catchUpIndex: r.log.last(), catchUpStart: r.now, trackedSince: r.now}
}

// updateProgress adds and removes progress entries to match the latest membership.
func (r *Raft) updateProgress() {
	members := map[uint64]bool{}
	for _, m := range r.log.membership().members {
		members[m.Id] = true
		if m.Id != r.config.ID && r.leaderState.progress[m.Id] == nil {
			r.leaderState.progress[m.Id] = r.newProgress()
		}
	}
	for id := range r.leaderState.progress {
		if !members[id] {
			delete(r.leaderState.progress, id)
		}
	}
}

// replicate sends new entries to each member.
func (r *Raft) replicate() {
	for _, m := range r.log.membership().members {
		if p := r.leaderState.progress[m.Id]; p != nil {
			r.sendAppend(m.Id, p, false)
		}
	}
}

// maxProbeBytes limits the entries in a probe, a message that finds the matching index.
// A probe is sent again with each heartbeat and may be rejected.
const maxProbeBytes = 16 << 10

// sendAppend sends entries to a member up to its in-flight limits. If sendEmpty is
// set, it sends at least one message, even without entries, to pass on the commit index or
// to detect lost entries.
func (r *Raft) sendAppend(id uint64, p *progress, sendEmpty bool) {
	for r.mayAppend(p) {
		previous := p.next - 1
		term, held := r.log.term(previous)
		if !held {
			r.startSnapshot(id, p)
			return
		}
		entries, bytes := r.log.entriesAfter(previous, r.config.MaxAppendBytes)
		if p.state == probing && bytes > maxProbeBytes {
			entries, bytes = nil, 0
		}
		if len(entries) == 0 && !sendEmpty && p.state == replicating {
			return
		}
		r.sendEntries(id, previous, term, entries)
		sendEmpty = false
		if p.state == probing {
			p.probeSent = true
			return
		}
		if len(entries) == 0 {
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, inflightAppend{lastIndex: p.next - 1, bytes: bytes})
	}
}

func (r *Raft) sendEntries(id, previous, term uint64, entries []*coordpb.Entry) {
	r.send(&coordpb.Message{
		Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND, To: id,
		LogIndex: previous, LogTerm: term, Commit: r.log.commit, Entries: entries,
	})
}

// sendEmptyAppend sends an append without entries that follows everything in flight. A
// member that missed some entries rejects it. Entries that are only late are not sent
// again: if they take longer than a heartbeat interval, copies would saturate the link.
func (r *Raft) sendEmptyAppend(id uint64, p *progress) {
	previous := p.next - 1
	term, held := r.log.term(previous)
	if !held {
		r.startSnapshot(id, p)
		return
	}
	r.sendEntries(id, previous, term, nil)
}

func (r *Raft) mayAppend(p *progress) bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case replicating:
		return !r.inflightFull(p)
	}
	return false
}

// handleReply processes a reply to a leader's message.
func (r *Raft) handleReply(m *coordpb.Message) {
	if r.role != Leader {
		return
	}
	p := r.leaderState.progress[m.From]
	if p == nil {
		return
	}
	p.lastReply, p.hasReplied = r.now, true
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		r.handleHeartbeatReply(m, p)
	case coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		r.handleSnapshotReply(m, p)
	case coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		if m.Reject {
			r.handleRejectedAppend(m, p)
			return
		}
		r.handleAppendReply(m, p)
	}
}

func (r *Raft) handleAppendReply(m *coordpb.Message, p *progress) {
	if m.LogIndex > r.log.last() {
		return
	}
	if m.LogIndex > p.match {
		p.match = m.LogIndex
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= m.LogIndex {
		p.inflight = p.inflight[1:]
	}
	if p.state == probing || (p.state == snapshotting && p.match >= p.snapshot.Meta.Index) {
		p.startReplicating()
	}
	if r.commitByQuorum() {
		r.afterCommit()
	}
	r.sendAppend(m.From, p, false)
	r.finishTransfer(m.From, p)
}

func (p *progress) startReplicating() {
	p.state, p.probeSent, p.inflight, p.snapshot = replicating, false, nil, nil
	p.next = p.match + 1
}

func (p *progress) startProbing(next uint64) {
	p.state, p.probeSent, p.inflight, p.snapshot = probing, false, nil, nil
	p.next = next
}

// handleRejectedAppend moves next back to where the logs may match (paper 5.3).
func (r *Raft) handleRejectedAppend(m *coordpb.Message, p *progress) {
	switch p.state {
	case replicating:
		if m.LogIndex <= p.match {
			return // stale: a later entry is already acknowledged
		}
		p.startProbing(p.match + 1)
	case probing:
		if m.LogIndex != p.next-1 {
			return
		}
		p.startProbing(max(min(m.LogIndex, m.HintIndex+1), p.match+1))
	default:
		return
	}
	r.sendAppend(m.From, p, false)
}

// handleHeartbeatReply records the acknowledged round and checks for lost messages.
func (r *Raft) handleHeartbeatReply(m *coordpb.Message, p *progress) {
	if m.ReadContext > p.ackedRound {
		p.ackedRound = m.ReadContext
		r.updateAckedRound()
	}
	p.probeSent = false
	switch {
	case p.state == snapshotting:
		r.resendChunk(m.From, p)
	case p.state == probing:
		r.sendAppend(m.From, p, true)
	case p.match < r.log.last():
		r.sendEmptyAppend(m.From, p)
	}
}

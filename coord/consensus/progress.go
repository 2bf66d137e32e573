package consensus

import (
	"time"

	"cowsliptiller/coord/coordpb"
)

type progressState int

const (
	probing     progressState = iota // where the logs agree is not known: one message at a time
	replicating                      // appends are sent ahead of their replies
	snapshotting
)

// progress is what a leader knows of another member.
type progress struct {
	state    progressState
	match    uint64       // highest entry known to be synced there
	next     uint64       // next entry to send
	waiting  bool         // probing: a message is out
	inflight []sentAppend // oldest first
	round    uint64       // newest heartbeat round answered
	active   time.Duration

	snapshot   *coordpb.Snapshot // being sent
	offset     uint64            // next byte to send
	chunkSent  time.Duration
	goal       uint64 // learners: entry to reach in this round of catching up
	goalSet    time.Duration
	everActive bool
	added      time.Duration // when the leader began to follow it
	disk       string        // data folder that its messages come from, if told
}

// sentAppend is an append message that was sent ahead of its reply.
type sentAppend struct {
	through uint64 // its last entry
	bytes   int
}

// full reports whether as much is on the way to a member as may be.
func (r *Raft) full(p *progress) bool {
	bytes := 0
	for _, s := range p.inflight {
		bytes += s.bytes
	}
	return len(p.inflight) >= r.config.MaxInflight || bytes >= r.config.MaxInflightBytes
}

func (r *Raft) newProgress() *progress {
	return &progress{next: r.log.last() + 1, goal: r.log.last(), goalSet: r.now, added: r.now}
}

// followMembership adds and drops progress as the newest membership says.
func (r *Raft) followMembership() {
	members := map[uint64]bool{}
	for _, m := range r.log.membership().members {
		members[m.Id] = true
		if m.Id != r.config.ID && r.lead.progress[m.Id] == nil {
			r.lead.progress[m.Id] = r.newProgress()
		}
	}
	for id := range r.lead.progress {
		if !members[id] {
			delete(r.lead.progress, id)
		}
	}
}

// replicate sends what is new to each member, and commits at once in a group of one.
func (r *Raft) replicate() {
	for _, m := range r.log.membership().members {
		if p := r.lead.progress[m.Id]; p != nil {
			r.sendAppend(m.Id, p, false)
		}
	}
}

// maxProbeBytes bounds the entries of a message that finds out where the logs agree. It
// is sent again with each heartbeat, and may be refused.
const maxProbeBytes = 16 << 10

// sendAppend sends entries as far as the member may be sent more. With empty
// set it sends a message even without entries, to tell the commit index or to
// find out what got lost.
func (r *Raft) sendAppend(id uint64, p *progress, empty bool) {
	for r.mayAppend(p) {
		previous := p.next - 1
		term, held := r.log.term(previous)
		if !held {
			r.startSnapshot(id, p)
			return
		}
		entries, bytes := r.log.sized(previous, r.config.MaxAppendBytes)
		if p.state == probing && bytes > maxProbeBytes {
			entries, bytes = nil, 0
		}
		if len(entries) == 0 && !empty && p.state == replicating {
			return
		}
		r.sendEntries(id, previous, term, entries)
		empty = false
		if p.state == probing {
			p.waiting = true
			return
		}
		if len(entries) == 0 {
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, sentAppend{through: p.next - 1, bytes: bytes})
	}
}

func (r *Raft) sendEntries(id, previous, term uint64, entries []*coordpb.Entry) {
	r.send(&coordpb.Message{
		Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND, To: id,
		LogIndex: previous, LogTerm: term, Commit: r.log.commit, Entries: entries,
	})
}

// sendCheck sends a message without entries behind all that is on the way. A member that
// has missed some refuses it. What is only late is not sent again: entries that take
// longer than a heartbeat interval would fill the link with their copies.
func (r *Raft) sendCheck(id uint64, p *progress) {
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
		return !p.waiting
	case replicating:
		return !r.full(p)
	}
	return false
}

// handleReply takes any answer to a leader.
func (r *Raft) handleReply(m *coordpb.Message) {
	if r.role != Leader {
		return
	}
	p := r.lead.progress[m.From]
	if p == nil {
		return
	}
	p.active, p.everActive = r.now, true
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
	for len(p.inflight) > 0 && p.inflight[0].through <= m.LogIndex {
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
	p.state, p.waiting, p.inflight, p.snapshot = replicating, false, nil, nil
	p.next = p.match + 1
}

func (p *progress) startProbing(next uint64) {
	p.state, p.waiting, p.inflight, p.snapshot = probing, false, nil, nil
	p.next = next
}

// handleRejectedAppend steps back to where the logs may agree (paper 5.3).
func (r *Raft) handleRejectedAppend(m *coordpb.Message, p *progress) {
	switch p.state {
	case replicating:
		if m.LogIndex <= p.match {
			return // an old message, overtaken by what is acknowledged since
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

// handleHeartbeatReply counts the round and finds out what may have been lost.
func (r *Raft) handleHeartbeatReply(m *coordpb.Message, p *progress) {
	if m.ReadContext > p.round {
		p.round = m.ReadContext
		r.countRounds()
	}
	p.waiting = false
	switch {
	case p.state == snapshotting:
		r.resendChunk(m.From, p)
	case p.state == probing:
		r.sendAppend(m.From, p, true)
	case p.match < r.log.last():
		r.sendCheck(m.From, p)
	}
}

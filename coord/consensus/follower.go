package consensus

import (
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// recordLeaderContact records a message from the leader of the current term.
func (r *Raft) recordLeaderContact(leader uint64) error {
	if r.role == Leader {
		return fault.New(fault.Internal, "consensus: members %d and %d are both leaders of term %d", r.config.ID, leader, r.term)
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
	r.leaderContact, r.stickiness = r.now, leaderStickiness{leader: leader, term: r.term}
	r.resetElectionDeadline()
	return nil
}

func (r *Raft) handleAppend(m *coordpb.Message) error {
	if err := r.recordLeaderContact(m.From); err != nil {
		return err
	}
	if m.LogIndex < r.log.commit {
		// Committed entries match the log of every later leader.
		return r.acceptAppend(m, r.log.commit)
	}
	if term, held := r.log.term(m.LogIndex); !held || term != m.LogTerm {
		r.sendAfterSync(&coordpb.Message{
			Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true,
			LogIndex: m.LogIndex, HintIndex: r.log.rejectionHint(m.LogIndex),
		})
		return nil
	}
	return r.acceptAppend(m, m.LogIndex)
}

// acceptAppend appends the message's entries after agreed, up to which the logs
// match. Only a conflicting entry truncates the log: a delayed message that is a
// prefix of later ones must not remove acknowledged entries (paper 5.3).
func (r *Raft) acceptAppend(m *coordpb.Message, agreed uint64) error {
	for i, e := range m.Entries {
		if e.Index <= agreed {
			continue
		}
		if term, held := r.log.term(e.Index); held && term == e.Term {
			agreed = e.Index
			continue
		}
		if e.Index <= r.log.last() {
			if err := r.log.truncate(e.Index); err != nil {
				return err
			}
		}
		if err := r.log.append(m.Entries[i:]...); err != nil {
			return err
		}
		agreed = m.Entries[len(m.Entries)-1].Index
		break
	}
	r.commitTo(min(m.Commit, agreed))
	r.sendAfterSync(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, LogIndex: agreed})
	return nil
}

func (r *Raft) commitTo(index uint64) {
	r.log.commit = max(r.log.commit, min(index, r.log.last()))
}

func (r *Raft) handleHeartbeat(m *coordpb.Message) error {
	if err := r.recordLeaderContact(m.From); err != nil {
		return err
	}
	r.commitTo(m.Commit)
	reply := &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadContext: m.ReadContext}
	if r.persisted.Term == r.term {
		// The reply reports no unsynced state. Sending it at once keeps a slow disk here
		// from letting the leader's lease expire.
		r.send(reply)
		return nil
	}
	r.sendAfterSync(reply)
	return nil
}

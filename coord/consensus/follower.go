package consensus

import (
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// hear notes the word of this term's leader.
func (r *Raft) hear(leader uint64) error {
	if r.role == Leader {
		return fault.New(fault.Internal, "consensus: members %d and %d both lead term %d", r.config.ID, leader, r.term)
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
	r.heard, r.promised = r.now, promise{leader: leader, term: r.term}
	r.resetDeadline()
	return nil
}

func (r *Raft) handleAppend(m *coordpb.Message) error {
	if err := r.hear(m.From); err != nil {
		return err
	}
	if m.LogIndex < r.log.commit {
		// What is committed agrees with every leader's log.
		return r.acceptAppend(m, r.log.commit)
	}
	if term, held := r.log.term(m.LogIndex); !held || term != m.LogTerm {
		r.promise(&coordpb.Message{
			Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true,
			LogIndex: m.LogIndex, HintIndex: r.log.agreeBefore(m.LogIndex),
		})
		return nil
	}
	return r.acceptAppend(m, m.LogIndex)
}

// acceptAppend takes the message's entries after an index up to which the logs
// agree. Only a conflicting entry truncates: a delayed message that is a prefix
// of what came since must not drop entries already promised (paper 5.3).
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
	r.promise(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, LogIndex: agreed})
	return nil
}

func (r *Raft) commitTo(index uint64) {
	r.log.commit = max(r.log.commit, min(index, r.log.last()))
}

func (r *Raft) handleHeartbeat(m *coordpb.Message) error {
	if err := r.hear(m.From); err != nil {
		return err
	}
	r.commitTo(m.Commit)
	reply := &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadContext: m.ReadContext}
	if r.persisted.Term == r.term {
		// Nothing unsynced is promised, so a slow disk does not cost the leader its lease.
		r.send(reply)
		return nil
	}
	r.promise(reply)
	return nil
}

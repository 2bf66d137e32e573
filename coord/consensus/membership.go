package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// transferTimeouts is the maximum duration of a leadership transfer, in election
// timeouts.
const transferTimeouts = 2

// AddLearner adds a member without a vote. The leader promotes it to voter once it
// has caught up: a voter that still lacks the log would count in the quorum without
// acknowledging anything, and the loss of one more host would stop the group
// (thesis 4.2.1). Errors: fault.NotLeader, fault.Conflict, fault.InvalidRequest.
func (r *Raft) AddLearner(now time.Duration, m *coordpb.Member) (index, term uint64, err error) {
	r.advance(now)
	if m.Id == 0 || r.isMember(m.Id) {
		return 0, 0, fault.New(fault.InvalidRequest, "member id %d is 0 or in use", m.Id)
	}
	added := proto.Clone(m).(*coordpb.Member)
	added.Learner = true
	members := append(cloneMembers(r.log.membership().members), added)
	return r.proposeMembership(members)
}

// Remove removes a member. It returns fault.Conflict if the remaining voters that
// reply are no quorum: removing the wrong host after a failure would stop the group
// permanently. Other errors: fault.NotLeader, fault.InvalidRequest.
func (r *Raft) Remove(now time.Duration, id uint64) (index, term uint64, err error) {
	r.advance(now)
	if r.role != Leader {
		return 0, 0, fault.New(fault.NotLeader, "member %d is not the leader", r.config.ID)
	}
	if !r.isMember(id) {
		return 0, 0, fault.New(fault.InvalidRequest, "no member has id %d", id)
	}
	var remaining []*coordpb.Member
	voters, active := 0, 0
	for _, m := range r.log.membership().members {
		if m.Id == id {
			continue
		}
		remaining = append(remaining, m)
		if m.Learner {
			continue
		}
		voters++
		if r.isActive(m.Id) {
			active++
		}
	}
	if active <= voters/2 {
		return 0, 0, fault.New(fault.Conflict, "cannot remove member %d: only %d of the remaining %d voters reply, which is not a quorum", id, active, voters)
	}
	if id == r.config.ID {
		return 0, 0, r.transferBeforeRemoval()
	}
	return r.proposeMembership(cloneMembers(remaining))
}

// transferBeforeRemoval transfers leadership so that the successor can remove this
// member. A leader that appended its own removal and then lost its quorum would have
// the longest log without starting an election, and the one remaining member of the
// new membership would wait for its vote indefinitely. Thesis 4.2.2 lets such a
// leader start an election; that is not needed if a leader is always a member of its
// own membership.
func (r *Raft) transferBeforeRemoval() error {
	if err := r.Transfer(r.now, r.BestSuccessor()); err != nil {
		return err
	}
	return fault.New(fault.NotLeader, "transferring leadership to member %d, which can remove member %d", r.leaderState.transferee, r.config.ID)
}

func (r *Raft) isMember(id uint64) bool {
	for _, m := range r.log.membership().members {
		if m.Id == id {
			return true
		}
	}
	return false
}

// isActive reports whether a member replied within the last election timeout.
func (r *Raft) isActive(id uint64) bool {
	if id == r.config.ID {
		return true
	}
	p := r.leaderState.progress[id]
	return p != nil && p.hasReplied && r.now-p.lastReply < r.config.ElectionTimeout
}

// proposeMembership appends a change of one member. Any majorities of two memberships
// that differ by one member overlap, so changing one member at a time needs no joint
// consensus (thesis 4.1). The first change of a term waits for a commit of that term:
// otherwise two leaders could each change the same old membership in ways whose
// majorities do not overlap (raft-dev, Ongaro, July 2015).
func (r *Raft) proposeMembership(members []*coordpb.Member) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, fault.New(fault.NotLeader, "member %d is not the leader", r.config.ID)
	}
	if r.leaderState.transferee != 0 {
		return 0, 0, fault.New(fault.NotLeader, "leadership is being transferred to member %d", r.leaderState.transferee)
	}
	if r.log.membership().index > r.log.commit {
		return 0, 0, fault.New(fault.Conflict, "another membership change is in progress")
	}
	if r.log.commit < r.leaderState.termStart {
		return 0, 0, fault.New(fault.Conflict, "the leader has not committed an entry of its term yet")
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&coordpb.Membership{Members: members})
	if err != nil {
		return 0, 0, fault.New(fault.Internal, "consensus: encoding membership: %v", err)
	}
	index = r.log.last() + 1
	e := &coordpb.Entry{Index: index, Term: r.term, Kind: coordpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	if err := r.log.append(e); err != nil {
		return 0, 0, err
	}
	r.updateProgress()
	r.replicate()
	return index, r.term, nil
}

// promoteLearner promotes at most one learner that has caught up. A learner has caught
// up when a round, that is replicating the log up to its end at the start of the round,
// took less than an election timeout (thesis 4.2.1).
func (r *Raft) promoteLearner() {
	if r.log.membership().index > r.log.commit || r.log.commit < r.leaderState.termStart {
		return
	}
	for _, m := range r.log.membership().members {
		p := r.leaderState.progress[m.Id]
		if !m.Learner || p == nil || p.match < p.catchUpIndex || !r.isActive(m.Id) {
			continue
		}
		if r.now-p.catchUpStart >= r.config.ElectionTimeout {
			p.catchUpIndex, p.catchUpStart = r.log.last(), r.now
			continue
		}
		r.promote(m.Id)
		return
	}
}

// SetMemberDisk sets the id of the data folder that a member's messages come from. The
// leader records it in the membership when it promotes a learner, so that the vote is
// bound to that data folder and not to a later user of the member id.
func (r *Raft) SetMemberDisk(id uint64, disk string) {
	if p := r.leaderState.progress[id]; p != nil {
		p.disk = disk
	}
}

func (r *Raft) promote(id uint64) {
	members := cloneMembers(r.log.membership().members)
	for _, m := range members {
		if m.Id == id {
			m.Learner = false
			m.Disk = r.leaderState.progress[id].disk
		}
	}
	_, _, _ = r.proposeMembership(members)
}

// Transfer transfers leadership to a voter, for a planned stop: the voter catches up
// and is then told to start an election at once (thesis 3.10). This member stops
// leading within two election timeouts in any case. Errors: fault.NotLeader,
// fault.InvalidRequest.
func (r *Raft) Transfer(now time.Duration, to uint64) error {
	r.advance(now)
	if r.role != Leader {
		return fault.New(fault.NotLeader, "member %d is not the leader", r.config.ID)
	}
	p := r.leaderState.progress[to]
	if p == nil || !r.isVoter(to) {
		return fault.New(fault.InvalidRequest, "member %d has no vote", to)
	}
	r.leaderState.transferee = to
	r.leaderState.transferDeadline = r.now + transferTimeouts*r.config.ElectionTimeout
	r.leaderState.leaseUntil = 0
	r.sendAppend(to, p, true)
	r.finishTransfer(to, p)
	return nil
}

// finishTransfer sends TIMEOUT_NOW once the transferee has the whole log.
func (r *Raft) finishTransfer(id uint64, p *progress) {
	if r.leaderState.transferee == id && p.match == r.log.last() {
		r.send(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: id})
	}
}

// BestSuccessor returns the active voter with the longest synced log, or 0 if no
// other voter is active.
func (r *Raft) BestSuccessor() uint64 {
	best, match := uint64(0), uint64(0)
	for _, m := range r.log.membership().members {
		p := r.leaderState.progress[m.Id]
		if m.Learner || p == nil || !r.isActive(m.Id) || p.match <= match {
			continue
		}
		best, match = m.Id, p.match
	}
	return best
}

func cloneMembers(members []*coordpb.Member) []*coordpb.Member {
	out := make([]*coordpb.Member, len(members))
	for i, m := range members {
		out[i] = proto.Clone(m).(*coordpb.Member)
	}
	return out
}

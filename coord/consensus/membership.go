package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// transferTimeouts is how many election timeouts a handover of leadership may take.
const transferTimeouts = 2

// AddLearner adds a member without a vote. It gets its vote once it has caught
// up: a new voter that still lacks the log would count in the quorum while it
// can acknowledge nothing, and the loss of one more host would stop the group
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

// Remove removes a member. It is refused when the rest would have no quorum that
// answers: removing the wrong host after a failure would stop the group for good.
func (r *Raft) Remove(now time.Duration, id uint64) (index, term uint64, err error) {
	r.advance(now)
	if r.role != Leader {
		return 0, 0, fault.New(fault.NotLeader, "member %d does not lead", r.config.ID)
	}
	if !r.isMember(id) {
		return 0, 0, fault.New(fault.InvalidRequest, "no member has id %d", id)
	}
	var rest []*coordpb.Member
	voters, answering := 0, 0
	for _, m := range r.log.membership().members {
		if m.Id == id {
			continue
		}
		rest = append(rest, m)
		if m.Learner {
			continue
		}
		voters++
		if r.answers(m.Id) {
			answering++
		}
	}
	if answering <= voters/2 {
		return 0, 0, fault.New(fault.Conflict, "without member %d only %d of %d voters answer, which is no quorum", id, answering, voters)
	}
	if id == r.config.ID {
		return 0, 0, r.handOnBeforeRemoval()
	}
	return r.proposeMembership(cloneMembers(rest))
}

// handOnBeforeRemoval passes a leader's own removal to its successor. A leader
// that appended its own removal and then lost its quorum would hold the longest
// log without standing for election, and the one member left of the new
// membership would wait for its vote for good (thesis 4.2.2 has it stand all the
// same; a leader that is never outside its own membership needs no such rule).
func (r *Raft) handOnBeforeRemoval() error {
	if err := r.Transfer(r.now, r.BestSuccessor()); err != nil {
		return err
	}
	return fault.New(fault.NotLeader, "leadership goes to member %d, which can remove member %d", r.lead.transferee, r.config.ID)
}

func (r *Raft) isMember(id uint64) bool {
	for _, m := range r.log.membership().members {
		if m.Id == id {
			return true
		}
	}
	return false
}

// answers reports whether a member was heard within an election timeout.
func (r *Raft) answers(id uint64) bool {
	if id == r.config.ID {
		return true
	}
	p := r.lead.progress[id]
	return p != nil && p.everActive && r.now-p.active < r.config.ElectionTimeout
}

// proposeMembership appends a change of one member. Two memberships that differ
// by one share a member in any two majorities, so one change at a time needs no
// joint phase (thesis 4.1). The first change of a term waits for a commit of
// that term: without it two leaders could each change the same old membership
// in ways whose majorities miss each other (raft-dev, Ongaro, July 2015).
func (r *Raft) proposeMembership(members []*coordpb.Member) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, fault.New(fault.NotLeader, "member %d does not lead", r.config.ID)
	}
	if r.lead.transferee != 0 {
		return 0, 0, fault.New(fault.NotLeader, "leadership is being handed to member %d", r.lead.transferee)
	}
	if r.log.membership().index > r.log.commit {
		return 0, 0, fault.New(fault.Conflict, "another change of membership is under way")
	}
	if r.log.commit < r.lead.firstOwn {
		return 0, 0, fault.New(fault.Conflict, "the leader has not committed in its term yet")
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&coordpb.Membership{Members: members})
	if err != nil {
		return 0, 0, fault.New(fault.Internal, "membership: %v", err)
	}
	index = r.log.last() + 1
	e := &coordpb.Entry{Index: index, Term: r.term, Kind: coordpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	if err := r.log.append(e); err != nil {
		return 0, 0, err
	}
	r.followMembership()
	r.replicate()
	return index, r.term, nil
}

// promoteLearner gives a vote to one learner that has caught up. It is up to
// date once a round, that is reaching the log's end as it was when the round
// began, took less than an election timeout (thesis 4.2.1).
func (r *Raft) promoteLearner() {
	if r.log.membership().index > r.log.commit || r.log.commit < r.lead.firstOwn {
		return
	}
	for _, m := range r.log.membership().members {
		p := r.lead.progress[m.Id]
		if !m.Learner || p == nil || p.match < p.goal || !r.answers(m.Id) {
			continue
		}
		if r.now-p.goalSet >= r.config.ElectionTimeout {
			p.goal, p.goalSet = r.log.last(), r.now
			continue
		}
		r.promote(m.Id)
		return
	}
}

// NoteDisk tells from which data folder a member's messages come. The leader
// writes it beside the vote that it gives to a learner, so that the vote belongs
// to that folder and not to whoever uses the id later.
func (r *Raft) NoteDisk(id uint64, disk string) {
	if p := r.lead.progress[id]; p != nil {
		p.disk = disk
	}
}

func (r *Raft) promote(id uint64) {
	members := cloneMembers(r.log.membership().members)
	for _, m := range members {
		if m.Id == id {
			m.Learner = false
			m.Disk = r.lead.progress[id].disk
		}
	}
	_, _, _ = r.proposeMembership(members)
}

// Transfer hands leadership to a voter, for a planned stop: the target catches
// up, then is told to stand at once (thesis 3.10). Leadership ends in any case
// within two election timeouts. Errors: fault.NotLeader, fault.InvalidRequest.
func (r *Raft) Transfer(now time.Duration, to uint64) error {
	r.advance(now)
	if r.role != Leader {
		return fault.New(fault.NotLeader, "member %d does not lead", r.config.ID)
	}
	p := r.lead.progress[to]
	if p == nil || !r.isVoter(to) {
		return fault.New(fault.InvalidRequest, "member %d has no vote", to)
	}
	r.lead.transferee = to
	r.lead.transferBy = r.now + transferTimeouts*r.config.ElectionTimeout
	r.lead.lease = 0
	r.sendAppend(to, p, true)
	r.finishTransfer(to, p)
	return nil
}

func (r *Raft) finishTransfer(id uint64, p *progress) {
	if r.lead.transferee == id && p.match == r.log.last() {
		r.send(&coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: id})
	}
}

// BestSuccessor returns the voter with the longest synced log that answers, and
// 0 if there is none.
func (r *Raft) BestSuccessor() uint64 {
	best, match := uint64(0), uint64(0)
	for _, m := range r.log.membership().members {
		p := r.lead.progress[m.Id]
		if m.Learner || p == nil || !r.answers(m.Id) || p.match <= match {
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

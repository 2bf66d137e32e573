package consensus_test

import (
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// testMember is a single member; the test plays the other members.
type testMember struct {
	*consensus.Raft
	now time.Duration
}

func newTestMember(d consensus.PersistentState) *testMember {
	r, err := consensus.New(consensus.Config{
		ID: 1, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat, Random: rand.New(rand.NewSource(1)),
	}, d, 0)
	Expect(err).NotTo(HaveOccurred())
	return &testMember{Raft: r}
}

func bootstrapGroup(size int) consensus.PersistentState {
	var members []*coordpb.Member
	for i := 1; i <= size; i++ {
		members = append(members, &coordpb.Member{Id: uint64(i)})
	}
	return consensus.Bootstrap(members)
}

// syncAll completes all writes and returns all messages.
func (s *testMember) syncAll() []*coordpb.Message {
	messages := s.Messages()
	for w := s.NextWrite(); w != nil; w = s.NextWrite() {
		messages = append(messages, w.Messages...)
		s.WriteSynced(s.now, w)
		messages = append(messages, s.Messages()...)
	}
	return messages
}

func (s *testMember) reply(kind coordpb.MessageKind, from uint64, change func(*coordpb.Message)) {
	m := &coordpb.Message{Kind: kind, From: from, To: 1, Term: s.Status().Term}
	if change != nil {
		change(m)
	}
	Expect(s.Step(s.now, m)).To(Succeed())
}

// elect makes the member leader with the votes of the given members.
func (s *testMember) elect(voters ...uint64) {
	s.now += 2 * electionTimeout
	s.Tick(s.now)
	s.syncAll()
	for _, v := range voters {
		s.reply(coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, v, func(m *coordpb.Message) { m.Term++ })
	}
	s.syncAll()
	for _, v := range voters {
		s.reply(coordpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, v, nil)
	}
	s.syncAll()
	Expect(s.Status().Role).To(Equal(consensus.Leader))
}

func (s *testMember) ackAppends(from, index uint64) {
	s.reply(coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, from, func(m *coordpb.Message) { m.LogIndex = index })
}

// heartbeatRound starts a heartbeat round and lets the given members reply.
func (s *testMember) heartbeatRound(from ...uint64) {
	s.now += heartbeat
	s.Tick(s.now)
	round := uint64(0)
	for _, m := range s.syncAll() {
		round = max(round, m.ReadContext)
	}
	for _, f := range from {
		s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, f, func(m *coordpb.Message) { m.ReadContext = round })
	}
}

func kinds(messages []*coordpb.Message) []coordpb.MessageKind {
	var out []coordpb.MessageKind
	for _, m := range messages {
		out = append(out, m.Kind)
	}
	return out
}

var _ = Describe("one member", func() {
	// Guards against a group without a leader for a full election timeout after all members
	// restart: the first pre-vote is rejected, because the others reject votes for an
	// election timeout after their start, and is repeated only a full timeout later.
	It("repeats a rejected pre-vote within half an election timeout and raises no term", func() {
		s := newTestMember(bootstrapGroup(3))
		s.now += 2 * electionTimeout
		s.Tick(s.now)
		Expect(kinds(s.syncAll())).To(ContainElement(coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE))
		for range 20 {
			asked := false
			for until := s.now + electionTimeout/2; s.now < until && !asked; {
				s.now += heartbeat
				s.Tick(s.now)
				asked = slices.Contains(kinds(s.syncAll()), coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE)
			}
			Expect(asked).To(BeTrue())
		}
		Expect(s.Status().Term).To(BeZero())
	})

	// Guards against two leaders in a term: a member that loses power between sending its
	// vote and syncing it could vote for another member after its restart, and one leader
	// would overwrite changes acknowledged by the other.
	It("sends no vote and no acknowledgement before the sync", func() {
		s := newTestMember(bootstrapGroup(3))
		s.now = 2 * electionTimeout
		Expect(s.Step(s.now, &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_VOTE, From: 2, To: 1, Term: 5})).To(Succeed())
		Expect(s.Messages()).To(BeEmpty())
		w := s.NextWrite()
		Expect(w.Sync).To(BeTrue())
		Expect(w.HardState.Vote).To(BeEquivalentTo(2))
		Expect(kinds(w.Messages)).To(Equal([]coordpb.MessageKind{coordpb.MessageKind_MESSAGE_KIND_VOTE_REPLY}))
		s.WriteSynced(s.now, w)

		Expect(s.Step(s.now, &coordpb.Message{
			Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND, From: 2, To: 1, Term: 5,
			Entries: []*coordpb.Entry{{Index: 1, Term: 5}}, Commit: 1,
		})).To(Succeed())
		Expect(s.Messages()).To(BeEmpty())
		Expect(s.Committed().Entries).To(BeEmpty())
		w = s.NextWrite()
		Expect(w.Entries).To(HaveLen(1))
		Expect(kinds(w.Messages)).To(Equal([]coordpb.MessageKind{coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY}))
		s.WriteSynced(s.now, w)
		Expect(s.Committed().Entries).To(HaveLen(1))
	})

	// Paper, figure 8: a leader commits an entry of an earlier term because a majority
	// holds it, and crashes. A member with an entry of a later term can still be elected and
	// overwrite it, which reverts an acknowledged change.
	It("commits no entry of an earlier term by counting replicas", func() {
		d := bootstrapGroup(5)
		d.HardState = &coordpb.HardState{Term: 3}
		d.Entries = []*coordpb.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}
		s := newTestMember(d)
		s.elect(2, 3)
		s.ackAppends(2, 2)
		s.ackAppends(3, 2)
		Expect(s.Status().Commit).To(BeZero())
		s.ackAppends(2, 3)
		s.ackAppends(3, 3)
		Expect(s.Status().Commit).To(BeEquivalentTo(3))
	})

	// Guards against two active leaders: a leader whose process was paused resumes after
	// another was elected, and would go on granting leases and confirming orders.
	It("holds no lease after a pause of its process, and steps down", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		Expect(s.Status().LeaseUntil).To(BeZero())
		s.heartbeatRound(2)
		Expect(s.Status().LeaseUntil).To(Equal(s.now + electionTimeout*3/4))
		resumed := s.now + electionTimeout
		Expect(s.Status().LeaseUntil).To(BeNumerically("<", resumed))
		s.Tick(resumed)
		Expect(s.Status().Role).To(Equal(consensus.Follower))
	})

	// Guards against a lease that lasts too long after a delayed heartbeat reply: counted
	// from the receipt of the reply, it would end after the replying member may vote again.
	It("counts its lease from the sending of the heartbeat", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.now += heartbeat
		s.Tick(s.now)
		sent, round := s.now, uint64(0)
		for _, m := range s.syncAll() {
			round = max(round, m.ReadContext)
		}
		s.now += 3 * heartbeat
		s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, 2, func(m *coordpb.Message) { m.ReadContext = round })
		Expect(s.Status().LeaseUntil).To(Equal(sent + electionTimeout*3/4))
	})

	// Guards against a member that stays unreachable because its term is ahead of the
	// group's: if it ignored the leader's lower term, neither would accept messages from the
	// other.
	It("replies to a leader of an older term with the current term", func() {
		d := bootstrapGroup(3)
		d.HardState = &coordpb.HardState{Term: 5}
		s := newTestMember(d)
		Expect(s.Step(0, &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 2, To: 1, Term: 3})).To(Succeed())
		answer := s.syncAll()
		Expect(answer).To(HaveLen(1))
		Expect(answer[0].Term).To(BeEquivalentTo(5))
		Expect(answer[0].Reject).To(BeTrue())
	})

	// Guards against two active leaders: a member that missed a few heartbeats requests
	// votes while the current leader still holds its lease.
	It("ignores vote requests while in contact with its leader, except for a transfer", func() {
		s := newTestMember(bootstrapGroup(3))
		s.now = 2 * electionTimeout
		Expect(s.Step(s.now, &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 2, To: 1, Term: 1})).To(Succeed())
		s.syncAll()
		s.now += electionTimeout / 2
		vote := &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 1, Term: 2}
		Expect(s.Step(s.now, vote)).To(Succeed())
		Expect(s.syncAll()).To(BeEmpty())
		Expect(s.Status().Term).To(BeEquivalentTo(1))
		vote.LeaderTransfer = true
		Expect(s.Step(s.now, vote)).To(Succeed())
		Expect(kinds(s.syncAll())).To(Equal([]coordpb.MessageKind{coordpb.MessageKind_MESSAGE_KIND_VOTE_REPLY}))
	})

	// Guards against two leaders in a term: a candidate that counts its unsynced own vote
	// becomes leader, loses power and votes for another member after its restart.
	It("counts its own vote only after the sync", func() {
		s := newTestMember(bootstrapGroup(1))
		s.Tick(2 * electionTimeout)
		Expect(s.Status().Role).To(Equal(consensus.Candidate))
		Expect(s.Messages()).To(BeEmpty())
		w := s.NextWrite()
		Expect(w.HardState.Vote).To(BeEquivalentTo(1))
		s.WriteSynced(2*electionTimeout, w)
		Expect(s.Status().Role).To(Equal(consensus.Leader))
	})

	// Guards against acknowledging unsynced entries: a later leader replaces entries during
	// their write. If its completion marked the new entries as synced, they would be
	// acknowledged and never written.
	It("does not mark entries as synced that replaced others during their write", func() {
		s := newTestMember(bootstrapGroup(3))
		s.now = 2 * electionTimeout
		old := []*coordpb.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}
		Expect(s.Step(s.now, &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND, From: 2, To: 1, Term: 1, Entries: old})).To(Succeed())
		out := s.NextWrite()
		Expect(out.Entries).To(HaveLen(2))
		later := []*coordpb.Entry{{Index: 1, Term: 2}, {Index: 2, Term: 2}}
		Expect(s.Step(s.now, &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_APPEND, From: 3, To: 1, Term: 2, Entries: later, Commit: 2})).To(Succeed())
		s.WriteSynced(s.now, out)
		Expect(s.Committed().Entries).To(BeEmpty())
		w := s.NextWrite()
		Expect(w.Entries).To(Equal(later))
		s.WriteSynced(s.now, w)
		Expect(s.Committed().Entries).To(Equal(later))
	})

	It("returns a received snapshot from Committed only after its sync", func() {
		s := newTestMember(bootstrapGroup(3))
		Expect(s.Step(0, &coordpb.Message{
			Kind: coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK, From: 2, To: 1, Term: 1, LastChunk: true,
			Snapshot: &coordpb.SnapshotMeta{Index: 3, Term: 1, Membership: &coordpb.Membership{}},
		})).To(Succeed())
		Expect(s.Committed().Snapshot).To(BeNil())
		w := s.NextWrite()
		Expect(w.Reset).To(BeTrue())
		Expect(s.Committed().Snapshot).To(BeNil())
		s.WriteSynced(0, w)
		Expect(s.Committed().Snapshot).NotTo(BeNil())
	})

	// Guards against callers that wait indefinitely: a leader whose disk hangs without an
	// error still sends heartbeats, so that no election starts.
	It("stops leading when its disk hangs", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		_, _, err := s.Propose(s.now, [][]byte{{1}})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.NextWrite()).NotTo(BeNil()) // never completed
		for range 39 {
			s.heartbeatRound(2, 3)
		}
		Expect(s.Status().Role).To(Equal(consensus.Leader))
		s.heartbeatRound(2, 3)
		s.heartbeatRound(2, 3)
		Expect(s.Status().Role).To(Equal(consensus.Follower))
		s.now += 3 * electionTimeout
		s.Tick(s.now)
		Expect(s.syncAll()).To(BeEmpty())
	})

	// Guards against callers that wait for a leader's disk although a majority has synced, and
	// against an entry that fewer than a majority have synced.
	It("commits what a majority of the others has synced, without its own disk", func() {
		s := newTestMember(bootstrapGroup(5))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		s.ackAppends(3, 1)
		Expect(s.Committed().Entries).To(HaveLen(1))
		_, _, err := s.Propose(s.now, [][]byte{{1}})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.NextWrite()).NotTo(BeNil()) // never completed
		s.ackAppends(2, 2)
		s.ackAppends(3, 2)
		Expect(s.Committed().Entries).To(BeEmpty()) // with the unsynced entry here, 3 of 5 have it
		s.ackAppends(4, 2)
		Expect(s.Committed().Entries).To(HaveLen(1))
	})

	// Guards against a compacted log that lacks entries which this member has not synced.
	It("keeps unsynced entries when it compacts its log", func() {
		d := bootstrapGroup(3)
		s := newTestMember(d)
		s.elect(2, 3)
		s.ackAppends(2, 1)
		s.ackAppends(3, 1)
		out := s.NextWrite()
		Expect(out).To(BeNil())
		_, _, err := s.Propose(s.now, [][]byte{{1}, {2}, {3}})
		Expect(err).NotTo(HaveOccurred())
		out = s.NextWrite()
		_, _, err = s.Propose(s.now, [][]byte{{4}, {5}})
		Expect(err).NotTo(HaveOccurred())
		s.ackAppends(2, 6)
		s.ackAppends(3, 6)
		Expect(s.Committed().Entries).To(HaveLen(6))
		Expect(s.Compact(5, 5, []byte("state at 5"))).To(Succeed())
		Expect(s.Compact(6, 6, []byte("state at 6"))).To(Succeed())
		disk := disk{d}
		disk.durable.Entries = []*coordpb.Entry{{Index: 1, Term: 1, Kind: coordpb.EntryKind_ENTRY_KIND_EMPTY}}
		disk.save(out)
		s.WriteSynced(s.now, out)
		out = s.NextWrite()
		Expect(out.Entries).To(HaveLen(2))
		disk.save(out)
		again := newTestMember(disk.durable)
		Expect(again.Status().LastIndex).To(BeEquivalentTo(6))
		Expect(disk.durable.Snapshot.Meta.Index).To(BeEquivalentTo(6))
	})

	// Guards against an election timeout without a leader when a leader's disk hangs.
	It("transfers leadership to a member that has synced what its own disk has not", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		s.ackAppends(3, 1)
		_, _, err := s.Propose(s.now, [][]byte{{1}})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.NextWrite()).NotTo(BeNil()) // never completed
		s.ackAppends(3, 2)
		for range 39 {
			s.heartbeatRound(2, 3)
		}
		s.now += 2 * heartbeat
		s.Tick(s.now)
		var successor *coordpb.Message
		for _, m := range s.syncAll() {
			if m.Kind == coordpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW {
				successor = m
			}
		}
		Expect(successor.GetTo()).To(BeEquivalentTo(3))
		s.reply(coordpb.MessageKind_MESSAGE_KIND_VOTE, 3, func(m *coordpb.Message) { m.Term++; m.LeaderTransfer = true })
		Expect(s.Status().SteppedDown.Reason).To(Equal(consensus.WriteStalled))
		Expect(s.syncAll()).To(BeEmpty()) // its vote needs the disk
	})

	It("gives up its lease for the rest of the term when it transfers leadership", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		s.heartbeatRound(2, 3)
		Expect(s.Transfer(s.now, 2)).To(Succeed())
		Expect(kinds(s.syncAll())).To(ContainElement(coordpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW))
		Expect(s.Status().LeaseUntil).To(BeZero())
		s.heartbeatRound(2, 3)
		Expect(s.Status().LeaseUntil).To(BeZero())
		_, _, err := s.Propose(s.now, [][]byte{{1}})
		Expect(fault.Is(err, fault.NotLeader)).To(BeTrue())
		for range 25 {
			s.heartbeatRound(2, 3)
		}
		Expect(s.Status().Role).To(Equal(consensus.Follower))
	})

	// Guards against two active leaders: a follower acknowledges a heartbeat, restarts and
	// votes for another member while the leader's lease is still valid.
	It("rejects votes for an election timeout after a restart", func() {
		s := newTestMember(bootstrapGroup(3))
		vote := &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_VOTE, From: 2, To: 1, Term: 5}
		Expect(s.Step(electionTimeout-1, vote)).To(Succeed())
		Expect(s.NextWrite()).To(BeNil())
		Expect(s.Step(electionTimeout, vote)).To(Succeed())
		Expect(s.NextWrite().HardState.Vote).To(BeEquivalentTo(2))
	})
})

var _ = Describe("leader stickiness", func() {
	restarted := func(leader uint64) *testMember {
		d := bootstrapGroup(3)
		d.HardState = &coordpb.HardState{Term: 4, Leader: leader}
		return newTestMember(d)
	}
	ask := func(s *testMember, from, term uint64) []coordpb.MessageKind {
		s.now += time.Millisecond
		Expect(s.Step(s.now, &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE, From: from, To: 1, Term: term})).To(Succeed())
		return kinds(s.syncAll())
	}

	// Guards against an election timeout without a leader after all members restart: each
	// would reject votes to protect a former leader that itself requests votes.
	It("ends when the leader itself requests a vote after a restart", func() {
		s := restarted(2)
		Expect(ask(s, 3, 5)).To(BeEmpty(), "member 2 may still lead")
		Expect(ask(s, 2, 5)).To(ConsistOf(coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY))
		Expect(ask(s, 3, 5)).To(ConsistOf(coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY))
	})

	// Guards against a delayed vote request that the leader sent before it was elected: it
	// does not show that the leader has stopped leading.
	It("is not ended by a vote request from before the leader's term", func() {
		s := restarted(2)
		ask(s, 2, 4)
		Expect(ask(s, 3, 5)).To(BeEmpty())
	})

	It("is kept if the leader was unknown before the restart", func() {
		s := restarted(0)
		Expect(ask(s, 2, 5)).To(BeEmpty())
		Expect(ask(s, 3, 5)).To(BeEmpty())
	})

	It("starts again on contact with a new leader", func() {
		s := restarted(2)
		ask(s, 2, 5)
		s.now += time.Millisecond
		Expect(s.Step(s.now, &coordpb.Message{Kind: coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 3, To: 1, Term: 5})).To(Succeed())
		s.syncAll()
		Expect(ask(s, 2, 6)).To(BeEmpty())
	})

	It("ends early because a member that led before its restart requests votes soon", func() {
		s := restarted(1)
		asked := false
		for s.now < electionTimeout/2 && !asked {
			s.now += heartbeat
			s.Tick(s.now)
			asked = slices.Contains(kinds(s.syncAll()), coordpb.MessageKind_MESSAGE_KIND_PRE_VOTE)
		}
		Expect(asked).To(BeTrue())
		Expect(s.Status().Term).To(BeEquivalentTo(4), "a pre-vote raises no term")
	})
})

var _ = Describe("a membership change", func() {
	// Guards against a group that can't commit: a host is added and another one fails before
	// the new one has the log. With an immediate vote it would count in the quorum.
	It("gives a learner its vote only once it has caught up", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		_, _, err := s.AddLearner(s.now, &coordpb.Member{Id: 4})
		Expect(err).NotTo(HaveOccurred())
		s.syncAll()
		s.ackAppends(2, 2)
		for range 20 {
			s.heartbeatRound(2, 3, 4)
		}
		Expect(s.Status().Members[3].Learner).To(BeTrue())
		s.ackAppends(4, 2)
		s.heartbeatRound(2, 3, 4) // caught up, but too late: a new catch-up round starts
		s.heartbeatRound(2, 3, 4)
		Expect(s.Status().Members[3].Learner).To(BeFalse())
	})

	// Guards against removal of the wrong host after a failure: the remaining members could
	// not commit a change that reverts it.
	It("is rejected if the remaining voters that reply are not a quorum", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		for range 15 {
			s.heartbeatRound(2)
		}
		_, _, err := s.Remove(s.now, 2)
		Expect(fault.Is(err, fault.Conflict)).To(BeTrue(), "%v", err)
		_, _, err = s.Remove(s.now, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Status().Members).To(HaveLen(2))
	})

	// Guards against disjoint majorities: two successive leaders change the same old
	// membership in different ways (raft-dev, July 2015).
	It("waits for the leader's first commit in its term", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		_, _, err := s.AddLearner(s.now, &coordpb.Member{Id: 4})
		Expect(fault.Is(err, fault.Conflict)).To(BeTrue(), "%v", err)
		s.ackAppends(2, 1)
		_, _, err = s.AddLearner(s.now, &coordpb.Member{Id: 4})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = s.AddLearner(s.now, &coordpb.Member{Id: 5})
		Expect(fault.Is(err, fault.Conflict)).To(BeTrue(), "%v", err)
	})

	It("that removes the leader is left to the successor", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		s.heartbeatRound(2, 3)
		_, _, err := s.Remove(s.now, 1)
		Expect(fault.Is(err, fault.NotLeader)).To(BeTrue(), "%v", err)
		Expect(s.Status().Members).To(HaveLen(3))
		Expect(kinds(s.syncAll())).To(ContainElement(coordpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW))
	})
})

package consensus_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
)

// appendedBytes returns the bytes of entry data in the append messages to a member.
func appendedBytes(messages []*coordpb.Message, to uint64) int {
	bytes := 0
	for _, m := range messages {
		if m.Kind != coordpb.MessageKind_MESSAGE_KIND_APPEND || m.To != to {
			continue
		}
		for _, e := range m.Entries {
			bytes += len(e.Data)
		}
	}
	return bytes
}

var _ = Describe("entries on their way to a member", func() {
	const large = 200 << 10

	// Guards against sending several megabytes of missed entries to a returning member at
	// once: heartbeats and replies queue behind them and come too late, so that everything is
	// sent again and the member stays behind.
	It("are limited in bytes when they are large", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		var commands [][]byte
		for range 20 {
			commands = append(commands, make([]byte, large))
		}
		_, _, err := s.Propose(s.now, commands)
		Expect(err).NotTo(HaveOccurred())
		total := 0
		for through := uint64(1); ; {
			sent := s.syncAll()
			bytes := appendedBytes(sent, 2)
			Expect(bytes).To(BeNumerically("<=", 1<<20))
			total += bytes
			if total == len(commands)*large {
				break
			}
			through += uint64(bytes / large)
			Expect(through).To(BeNumerically("<=", 21))
			s.ackAppends(2, through)
		}
	})

	// bytesDuringHeartbeats lets members 2 and 3 reply to a number of heartbeats, and returns
	// the bytes of entries sent to member 2 meanwhile.
	bytesDuringHeartbeats := func(s *testMember, rounds int) (bytes int) {
		for range rounds {
			s.now += heartbeat
			s.Tick(s.now)
			sent := s.syncAll()
			round := uint64(0)
			for _, m := range sent {
				round = max(round, m.ReadContext)
			}
			for _, f := range []uint64{2, 3} {
				s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, f, func(m *coordpb.Message) { m.ReadContext = round })
			}
			bytes += appendedBytes(append(sent, s.syncAll()...), 2)
		}
		return bytes
	}

	// Guards against retransmissions that saturate a link.
	It("are not sent again with each heartbeat", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		_, _, err := s.Propose(s.now, [][]byte{make([]byte, 6*large), make([]byte, 6*large)})
		Expect(err).NotTo(HaveOccurred())
		Expect(appendedBytes(s.syncAll(), 2) + bytesDuringHeartbeats(s, 20)).To(Equal(6 * large))
		s.ackAppends(2, 2)
		Expect(appendedBytes(s.syncAll(), 2) + bytesDuringHeartbeats(s, 20)).To(Equal(6 * large))
	})

	// Guards against large entries in probes, which a follower may reject.
	It("are not sent to a member whose matching index is unknown", func() {
		d := bootstrapGroup(3)
		d.HardState = &coordpb.HardState{Term: 1}
		d.Entries = []*coordpb.Entry{{Index: 1, Term: 1, Data: make([]byte, 6*large)}}
		s := newTestMember(d)
		s.elect(2, 3)
		Expect(bytesDuringHeartbeats(s, 20)).To(BeZero())
		s.reply(coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2, func(m *coordpb.Message) { m.Reject, m.LogIndex = true, 1 })
		s.ackAppends(2, 0)
		Expect(appendedBytes(s.syncAll(), 2) + bytesDuringHeartbeats(s, 20)).To(Equal(6 * large))
	})

	It("are sent again once the member has reported that it lacks them", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		_, _, err := s.Propose(s.now, [][]byte{make([]byte, 6*large)})
		Expect(err).NotTo(HaveOccurred())
		Expect(appendedBytes(s.syncAll(), 2)).To(Equal(6 * large))
		s.reply(coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2, func(m *coordpb.Message) { m.Reject, m.LogIndex, m.HintIndex = true, 2, 1 })
		s.ackAppends(2, 1)
		Expect(appendedBytes(s.syncAll(), 2)).To(Equal(6 * large))
	})

	// Guards against a follower that never catches up after its lost entries were compacted.
	It("are replaced by a snapshot once the log no longer holds them", func() {
		s := newTestMember(bootstrapGroup(3))
		s.elect(2, 3)
		s.ackAppends(2, 1)
		s.ackAppends(3, 1)
		for i := range 100 {
			_, _, err := s.Propose(s.now, [][]byte{make([]byte, 10)})
			Expect(err).NotTo(HaveOccurred())
			s.syncAll()
			s.ackAppends(3, uint64(i+2))
		}
		s.syncAll()
		through := s.Committed().Entries
		Expect(s.Compact(through[len(through)-1].Index, through[len(through)-1].Index, make([]byte, 10))).To(Succeed())
		s.syncAll()
		s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, 2, nil)
		Expect(kinds(s.syncAll())).To(ContainElement(coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK))
	})

	// Guards against snapshot chunks that are retransmitted before a slow link has carried them.
	It("are not sent again as snapshot chunks before the link can have carried them", func() {
		d := bootstrapGroup(3)
		d.HardState = &coordpb.HardState{Term: 1, Commit: 9}
		d.Snapshot.Meta.Index, d.Snapshot.Meta.Term, d.Snapshot.Data = 9, 1, make([]byte, 2*consensus.DefaultChunkBytes)
		s := newTestMember(d)
		s.elect(2, 3)
		s.reply(coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2, func(m *coordpb.Message) { m.Reject, m.LogIndex = true, 9 })
		chunks := 0
		for range 20 {
			s.now += heartbeat
			s.Tick(s.now)
			for _, m := range s.syncAll() {
				if m.Kind == coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK {
					chunks++
				}
			}
			s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, 2, nil)
		}
		Expect(chunks).To(Equal(1))
	})
})

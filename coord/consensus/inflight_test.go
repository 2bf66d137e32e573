package consensus_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
)

// appended returns the bytes of the entries that messages carry to a member.
func appended(messages []*coordpb.Message, to uint64) int {
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

	// A member that missed twenty deployments comes back. All of them are sent at once,
	// several megabytes; the heartbeats behind them come too late, and so does the answer:
	// everything is sent again, and the member lags for as long as that goes on.
	It("are few at a time when they are large", func() {
		s := alone(firstMembers(3))
		s.elect(2, 3)
		s.acked(2, 1)
		var commands [][]byte
		for range 20 {
			commands = append(commands, make([]byte, large))
		}
		_, _, err := s.Propose(s.now, commands)
		Expect(err).NotTo(HaveOccurred())
		total := 0
		for through := uint64(1); ; {
			sent := s.sync()
			bytes := appended(sent, 2)
			Expect(bytes).To(BeNumerically("<=", 1<<20))
			total += bytes
			if total == len(commands)*large {
				break
			}
			through += uint64(bytes / large)
			Expect(through).To(BeNumerically("<=", 21))
			s.acked(2, through)
		}
	})

	// beats lets members 2 and 3 answer a number of heartbeats, and returns the bytes of
	// entries that were sent to member 2 meanwhile.
	beats := func(s *single, rounds int) (bytes int) {
		for range rounds {
			s.now += heartbeat
			s.Tick(s.now)
			sent := s.sync()
			round := uint64(0)
			for _, m := range sent {
				round = max(round, m.ReadContext)
			}
			for _, f := range []uint64{2, 3} {
				s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, f, func(m *coordpb.Message) { m.ReadContext = round })
			}
			bytes += appended(append(sent, s.sync()...), 2)
		}
		return bytes
	}

	// Guards against retransmissions that saturate a link.
	It("are not sent again with each heartbeat", func() {
		s := alone(firstMembers(3))
		s.elect(2, 3)
		s.acked(2, 1)
		_, _, err := s.Propose(s.now, [][]byte{make([]byte, 6*large), make([]byte, 6*large)})
		Expect(err).NotTo(HaveOccurred())
		Expect(appended(s.sync(), 2) + beats(s, 20)).To(Equal(6 * large))
		s.acked(2, 2)
		Expect(appended(s.sync(), 2) + beats(s, 20)).To(Equal(6 * large))
	})

	// Guards against large entries in probes, which a follower may reject.
	It("are not sent to a member before it is known what it has", func() {
		d := firstMembers(3)
		d.HardState = &coordpb.HardState{Term: 1}
		d.Entries = []*coordpb.Entry{{Index: 1, Term: 1, Data: make([]byte, 6*large)}}
		s := alone(d)
		s.elect(2, 3)
		Expect(beats(s, 20)).To(BeZero())
		s.reply(coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2, func(m *coordpb.Message) { m.Reject, m.LogIndex = true, 1 })
		s.acked(2, 0)
		Expect(appended(s.sync(), 2) + beats(s, 20)).To(Equal(6 * large))
	})

	It("are sent again once the member has said that it lacks them", func() {
		s := alone(firstMembers(3))
		s.elect(2, 3)
		s.acked(2, 1)
		_, _, err := s.Propose(s.now, [][]byte{make([]byte, 6*large)})
		Expect(err).NotTo(HaveOccurred())
		Expect(appended(s.sync(), 2)).To(Equal(6 * large))
		s.reply(coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2, func(m *coordpb.Message) { m.Reject, m.LogIndex, m.HintIndex = true, 2, 1 })
		s.acked(2, 1)
		Expect(appended(s.sync(), 2)).To(Equal(6 * large))
	})

	// Guards against a follower that never catches up after its lost entries were compacted.
	It("are followed by a snapshot once the log does not hold them any more", func() {
		s := alone(firstMembers(3))
		s.elect(2, 3)
		s.acked(2, 1)
		s.acked(3, 1)
		for i := range 100 {
			_, _, err := s.Propose(s.now, [][]byte{make([]byte, 10)})
			Expect(err).NotTo(HaveOccurred())
			s.sync()
			s.acked(3, uint64(i+2))
		}
		s.sync()
		through := s.Committed().Entries
		Expect(s.Compact(through[len(through)-1].Index, through[len(through)-1].Index, make([]byte, 10))).To(Succeed())
		s.sync()
		s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, 2, nil)
		Expect(kinds(s.sync())).To(ContainElement(coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK))
	})

	// Guards against snapshot chunks that are retransmitted before a slow link has carried them.
	It("take the time that a chunk of a snapshot needs before it is sent again", func() {
		d := firstMembers(3)
		d.HardState = &coordpb.HardState{Term: 1, Commit: 9}
		d.Snapshot.Meta.Index, d.Snapshot.Meta.Term, d.Snapshot.Data = 9, 1, make([]byte, 2*consensus.DefaultChunkBytes)
		s := alone(d)
		s.elect(2, 3)
		s.reply(coordpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2, func(m *coordpb.Message) { m.Reject, m.LogIndex = true, 9 })
		chunks := 0
		for range 20 {
			s.now += heartbeat
			s.Tick(s.now)
			for _, m := range s.sync() {
				if m.Kind == coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK {
					chunks++
				}
			}
			s.reply(coordpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, 2, nil)
		}
		Expect(chunks).To(Equal(1))
	})
})

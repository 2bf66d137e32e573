package consensus_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
})

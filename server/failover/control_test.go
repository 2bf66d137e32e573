package failover_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/failover"
	"cowsliptiller/server/rpc"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failover")
}

// member is a control process that answers claims, or fails them.
type member struct {
	rpc.Control
	err   error
	calls int
}

func (m *member) Claim(context.Context, *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	m.calls++
	if m.err != nil {
		return nil, m.err
	}
	return &rpc.ClaimResponse{Granted: true}, nil
}

type peers []string

func (p peers) Addresses() []string { return p }

var _ = Describe("calls to control", func() {
	var members map[string]*member
	var control *failover.Control

	BeforeEach(func() {
		members = map[string]*member{"a": {}, "b": {}, "c": {}}
		control = failover.NewControl(peers{"a", "b", "c"}, func(address string) rpc.Control { return members[address] })
	})

	claim := func() error {
		_, err := control.Claim(context.Background(), &rpc.ClaimRequest{})
		return err
	}

	// A control host is cut off. A caller's claim must not fail while the other
	// two can commit it, and the next claim must not begin at the dead one again.
	It("leave a member that cannot be reached, and stay with the one that answered", func() {
		members["a"].err = twirp.NewError(twirp.Unavailable, "connection refused")
		Expect(claim()).To(Succeed())
		Expect(claim()).To(Succeed())
		Expect(members["a"].calls).To(Equal(1))
		Expect(members["b"].calls).To(Equal(2))
	})

	It("give a refusal back at once, without asking another member", func() {
		members["a"].err = rpc.ToTwirp(fault.New(fault.KeyReused, "another request"))
		Expect(fault.Is(rpc.FromTwirp(claim()), fault.KeyReused)).To(BeTrue())
		Expect(members["b"].calls).To(BeZero())
	})

	It("fail when no member answers", func() {
		for _, m := range members {
			m.err = rpc.ToTwirp(fault.New(fault.NoQuorum, "cut off"))
		}
		Expect(fault.Is(rpc.FromTwirp(claim()), fault.NoQuorum)).To(BeTrue())
	})
})

package failover_test

import (
	"context"
	"slices"
	"sync"
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

// member is a control process that answers claims, with an error if err is set.
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

// peers implements failover.Peers with a settable leader.
type peers struct {
	addresses []string

	mu      sync.Mutex
	leader  string
	changed chan struct{}
}

func peersOf(addresses ...string) *peers {
	return &peers{addresses: addresses, changed: make(chan struct{})}
}

func (p *peers) Addresses() []string { return slices.Clone(p.addresses) }

func (p *peers) Led() (string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader, p.changed
}

func (p *peers) lead(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = address
	close(p.changed)
	p.changed = make(chan struct{})
}

var _ = Describe("calls to control", func() {
	var members map[string]*member
	var control *failover.Control

	BeforeEach(func() {
		members = map[string]*member{"a": {}, "b": {}, "c": {}}
		control = failover.NewControl(peersOf("a", "b", "c"), func(address string) rpc.Control { return members[address] })
	})

	claim := func() error {
		_, err := control.Claim(context.Background(), &rpc.ClaimRequest{})
		return err
	}

	// Guards against claims that fail because one control host is partitioned although
	// the other two can commit them, and against a next claim that first tries the
	// unreachable host again.
	It("skip a member that is unreachable, and stay with the one that answered", func() {
		members["a"].err = twirp.NewError(twirp.Unavailable, "connection refused")
		Expect(claim()).To(Succeed())
		Expect(claim()).To(Succeed())
		Expect(members["a"].calls).To(Equal(1))
		Expect(members["b"].calls).To(Equal(2))
	})

	It("return an error that is not retryable, without calling another member", func() {
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

// unresponsive is a process whose host is frozen: calls neither return nor fail before their
// context ends.
type unresponsive struct {
	rpc.Control
	rpc.Board
	asked chan struct{}
}

func (u *unresponsive) Draw(ctx context.Context, _ *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	close(u.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (u *unresponsive) Watch(ctx context.Context, _ *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	close(u.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

// drawer is a control process that answers draws.
type drawer struct{ rpc.Control }

func (drawer) Draw(context.Context, *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	return &rpc.DrawResponse{Epoch: 7}, nil
}

// Guards against calls that wait for their whole timeout at a leader whose host is frozen,
// both those in flight and those made until the next leader is reported: callers within
// their rate are rejected, and entry hosts see no targets for a second after the next
// leader is available.
var _ = Describe("a leader that stopped responding", func() {
	It("does not delay draws once another member leads", func() {
		frozen := &unresponsive{asked: make(chan struct{})}
		p := peersOf("a", "b")
		p.lead("a")
		control := failover.NewControl(p, func(address string) rpc.Control {
			if address == "a" {
				return frozen
			}
			return drawer{}
		})
		answers := make(chan *rpc.DrawResponse, 1)
		go func() {
			defer GinkgoRecover()
			resp, err := control.Draw(context.Background(), &rpc.DrawRequest{})
			Expect(err).NotTo(HaveOccurred())
			answers <- resp
		}()
		Eventually(frozen.asked).Should(BeClosed())
		p.lead("b")
		Eventually(answers, "500ms").Should(Receive(HaveField("Epoch", uint64(7))))
	})

	It("does not delay watches of its board once another member leads", func() {
		frozen := &unresponsive{asked: make(chan struct{})}
		p := peersOf("a", "b")
		boards := failover.NewBoards(p, func(string) rpc.Board { return frozen })
		Expect(boards.Current()).To(BeNil())
		p.lead("a")
		ended := make(chan error, 1)
		go func() {
			_, err := boards.Current().Watch(context.Background(), &rpc.WatchRequest{})
			ended <- err
		}()
		Eventually(frozen.asked).Should(BeClosed())
		p.lead("b")
		Eventually(ended, "500ms").Should(Receive(HaveOccurred()))
	})
})

package control_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/rpc"
)

func (c *cluster) claim(ctx context.Context, id uint64, key, attempt string) (granted bool, err error) {
	resp, err := c.hosts[id].role.Claim(ctx, &rpc.ClaimRequest{Caller: &rpc.Caller{Host: "entry-1"}, Claim: &coordpb.OpenClaim{
		Workspace: "w1", IdempotencyKey: key, RequestDigest: []byte("order"), Attempt: attempt}})
	return resp.GetGranted(), err
}

func (c *cluster) restart(ids ...uint64) {
	for _, id := range ids {
		c.stop(id)
	}
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() { c.start(id) })
	}
	wg.Wait()
}

// Guards against two attempts that are both granted a claim: one asked while two of three members were away, the
// other after they were back, and both again after all have restarted.
func TestAClaimThatFoundNoQuorumIsGrantedToOneAttempt(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, "")
	g.Eventually(func() bool { granted, err := c.claim(background, 1, "before", "a0"); return err == nil && granted }, time.Minute).Should(BeTrue())
	c.stop(2)
	c.stop(3)
	ctx, cancel := context.WithTimeout(background, 500*time.Millisecond)
	defer cancel()
	granted, err := c.claim(ctx, 1, "k", "a1")
	g.Expect(granted).To(BeFalse())
	g.Expect(err).To(HaveOccurred())
	c.start(2)
	c.start(3)
	ask := func(key, attempt string) (granted bool) {
		g.Eventually(func() (err error) {
			granted, err = c.claim(background, 2, key, attempt)
			return err
		}, time.Minute).Should(Succeed())
		return granted
	}
	second, first := ask("k", "a2"), ask("k", "a1")
	g.Expect(first).NotTo(Equal(second), "granted to both attempts or to none")
	c.restart(1, 2, 3)
	g.Expect(ask("k", "a2")).To(Equal(second))
	g.Expect(ask("k", "a1")).To(Equal(first))
	g.Expect(ask("k", "a3")).To(BeFalse())
	g.Expect(ask("before", "a4")).To(BeFalse())
}

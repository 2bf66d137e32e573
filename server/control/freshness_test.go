package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/control"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// keyed starts three control processes and two entry hosts, puts a questionnaire
// in force and gives a key.
func keyed(t *testing.T, g *WithT) (gr *group, roles []*control.Role, near, far *view.Follower, key *operators.KeyInfo) {
	gr, roles = three(t)
	near = gr.follow(t, "near", address(1))
	far = gr.follow(t, "far", address(3))
	settle(2 * freshness)
	_, err := roles[0].Operators().Submit(background, submitAs("first", 0))
	g.Expect(err).NotTo(HaveOccurred())
	key, err = roles[0].Operators().GiveKey(background, &operators.GiveKeyPayload{Workspace: "w1", CommandID: "c1"})
	g.Expect(err).NotTo(HaveOccurred())
	settle(time.Second)
	g.Expect(accepts(near, *key.Secret)).To(BeTrue())
	g.Expect(accepts(far, *key.Secret)).To(BeTrue())
	return gr, roles, near, far, key
}

// withdraw withdraws a key through a control process and returns how long it took.
func withdraw(g *WithT, role *control.Role, id string) time.Duration {
	start := time.Now()
	_, err := role.Operators().WithdrawKey(background, &operators.WithdrawKeyPayload{KeyID: id})
	g.Expect(err).NotTo(HaveOccurred())
	return time.Since(start)
}

func TestWithdrawalIsAcknowledgedOnceAllHaveSeenIt(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		_, roles, near, far, key := keyed(t, g)
		took := withdraw(g, roles[1], key.KeyID)
		g.Expect(took).To(BeNumerically("<", freshness/10))
		g.Expect(accepts(near, *key.Secret)).To(BeFalse())
		g.Expect(accepts(far, *key.Secret)).To(BeFalse())
		g.Expect(near.Fresh(time.Now())).To(BeTrue())
	})
}

// An entry host is cut off with its callers. A key is withdrawn while its lease
// still runs: it goes on accepting the key until the lease ends. The operator must
// not be told before, and must be told soon after.
func TestWithdrawalWaitsForACutOffEntryHost(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles, near, far, key := keyed(t, g)
		gr.put("away", "far")
		took := withdraw(g, roles[0], key.KeyID)
		g.Expect(accepts(far, *key.Secret)).To(BeFalse())
		g.Expect(far.Fresh(time.Now())).To(BeFalse())
		g.Expect(took).To(BeNumerically(">", freshness/2))
		g.Expect(took).To(BeNumerically("<=", freshness+time.Second/10))
		g.Expect(near.Fresh(time.Now())).To(BeTrue())
	})
}

// A control process is silently cut off together with an entry host. If it went on
// renewing the entry host's lease with what it knows, the withdrawn key would work
// there for as long as the partition lasts.
func TestACutOffControlProcessRenewsNoLease(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles, _, far, key := keyed(t, g)
		gr.put("away", address(3), "far")
		withdraw(g, roles[0], key.KeyID)
		g.Expect(accepts(far, *key.Secret)).To(BeFalse())
		settle(time.Minute)
		g.Expect(accepts(far, *key.Secret)).To(BeFalse())
		g.Expect(roles[2].Ready()).NotTo(Succeed())
		gr.put("", address(3), "far")
		settle(2 * time.Second)
		g.Expect(far.Fresh(time.Now())).To(BeTrue())
		g.Expect(accepts(far, *key.Secret)).To(BeFalse())
	})
}

// The control process that an entry host follows restarts and forgets the lease
// that it granted; the entry host cannot reach it again. Asked whether a withdrawal
// is in force, it must not answer for leases that it does not remember.
func TestARestartedControlProcessAnswersForNoLeaseBeforeOneHasPassed(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles, _, far, key := keyed(t, g)
		gr.put("away", "far")
		g.Expect(roles[2].Close()).To(Succeed())
		gr.start(t, 3, nil)
		withdraw(g, roles[0], key.KeyID)
		g.Expect(accepts(far, *key.Secret)).To(BeFalse())
	})
}

// Guards against background work that a late poll starts while the role is closed: it raced with
// the wait for such work, and used the log after that had been closed.
func TestAClosedControlProcessRegistersNoHost(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		g.Expect(roles[0].Close()).To(Succeed())
		committed := len(gr.entries)
		_, _ = roles[0].Sync(background, &rpc.SyncRequest{Caller: &rpc.Caller{Host: "late", Role: "entry", Incarnation: "1"}})
		settle(time.Second)
		g.Expect(gr.entries).To(HaveLen(committed))
	})
}

// The leader dies right after it granted leases; a new one takes the withdrawal.
func TestWithdrawalAfterAChangeOfLeader(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles, near, far, key := keyed(t, g)
		gr.put("dead", address(1))
		gr.put("away", "near")
		gr.elect(2)
		withdraw(g, roles[1], key.KeyID)
		g.Expect(accepts(near, *key.Secret)).To(BeFalse())
		g.Expect(accepts(far, *key.Secret)).To(BeFalse())
		g.Expect(far.Fresh(time.Now())).To(BeTrue())
	})
}

// One control host after another goes silent under an entry host: connections stay
// open and say nothing. Callers must not be refused as long as one is left.
func TestASilentControlHostCostsNoFreshness(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, _ := three(t)
		f := gr.follow(t, "entry", address(1), address(2), address(3))
		settle(freshness)
		for _, silent := range []uint64{2, 3} {
			gr.put("silent", address(silent))
			for range 100 {
				settle(50 * time.Millisecond)
				g.Expect(f.Fresh(time.Now())).To(BeTrue())
			}
			gr.put("", address(silent))
			settle(freshness)
		}
	})
}

// Without a leader nothing can be committed, and nothing that was withdrawn can
// have been missed; but nobody can tell. Entry hosts serve on for the rest of the
// lease and refuse then.
func TestWithoutAQuorumLeasesRunOut(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, _ := three(t)
		f := gr.follow(t, "entry", address(1), address(2), address(3))
		settle(freshness)
		gr.put("alone", address(1))
		settle(freshness / 4)
		g.Expect(f.Fresh(time.Now())).To(BeTrue())
		settle(freshness)
		g.Expect(f.Fresh(time.Now())).To(BeFalse())
		gr.elect(2)
		settle(freshness)
		g.Expect(f.Fresh(time.Now())).To(BeTrue())
	})
}

// The leader is lost and the next one leads after a second and a half, which is
// above an election in the default settings. Callers must not notice.
func TestAChangeOfLeaderCostsNoFreshness(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, _ := three(t)
		f := gr.follow(t, "entry", address(1), address(2), address(3))
		settle(freshness)
		gr.put("dead", address(1))
		for i := range 100 {
			if i == 30 {
				gr.elect(2)
			}
			settle(50 * time.Millisecond)
			g.Expect(f.Fresh(time.Now())).To(BeTrue())
		}
	})
}

func TestASupersededProcessIsSentAway(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		gr.follow(t, "entry", address(1))
		settle(time.Second)
		newer := caller("entry", "entry", "entry-2", "")
		_, err := roles[0].Sync(background, poll(newer, 0))
		g.Expect(err).NotTo(HaveOccurred())
		settle(time.Second)
		_, err = roles[1].Sync(background, poll(caller("entry", "entry", "entry-1", ""), 0))
		g.Expect(fault.Is(fromTwirp(err), fault.Fenced)).To(BeTrue())
	})
}

// A control process is stopped in a planned way while an entry host polls it.
func TestADrainedControlProcessSendsItsFollowersAway(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		f := gr.follow(t, "entry", address(3), address(2))
		settle(freshness)
		g.Expect(roles[2].Drain(background)).To(Succeed())
		g.Expect(fault.Is(roles[2].Ready(), fault.Leaving)).To(BeTrue())
		for range 100 {
			settle(50 * time.Millisecond)
			g.Expect(f.Fresh(time.Now())).To(BeTrue())
		}
	})
}

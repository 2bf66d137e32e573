package workspace_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/workspace"
)

// prefetchAll sends small calls to every host until each has prefetched tokens.
func prefetchAll(f *fleet) {
	for range 20 {
		for i := range f.holders {
			_, _ = f.charge(i, f.oracle.limit.Burst/80)
			f.exchange(i)
		}
		f.extend()
		f.advance(100 * time.Millisecond)
	}
}

// recoverOwner sends calls to the first host until the current owner has recovered its buckets.
func recoverOwner(f *fleet) {
	for !f.owner().Ready() {
		_, _ = f.charge(0, 100)
		f.exchange(0)
		f.advance(50 * time.Millisecond)
		f.extend()
	}
}

// drain charges the whole level of the oracle at one host.
func drain(f *fleet, i int) {
	level, _ := f.oracle.replay(f.now)
	waits, err := f.charge(i, int64(level))
	Expect(err).NotTo(HaveOccurred())
	if waits {
		f.exchange(i)
	}
}

var _ = Describe("the bound on a workspace's rate", func() {
	limit := workspace.Limit{Rate: 1000, Burst: 2000}

	// Guards against twice the burst at once: a host with prefetched tokens freezes, its grants
	// expire, the bucket refills and another host spends it; then the frozen host resumes and
	// serves calls from its prefetched tokens.
	It("keeps a frozen holder from spending expired grants", func() {
		f := newFleet(2, limit)
		prefetchAll(f)
		f.now = f.now.Add(10 * time.Second)
		f.extend()
		f.exchange(1)
		drain(f, 1)
		level, _ := f.oracle.replay(f.now)
		Expect(level).To(BeNumerically("<", 1))
		f.chargeUntilQueued(0)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against two bursts at once: the leader freezes and another one takes over and
	// grants the bucket; then the first one resumes and replies to the messages it has queued.
	It("keeps a frozen owner from granting after its lease", func() {
		f := newFleet(2, limit)
		prefetchAll(f)
		frozen := f.owner()
		f.takeOver()
		recoverOwner(f)
		f.advance(5 * time.Second)
		f.extend()
		level := f.owner().Levels(f.now)[0].Free
		_, _ = f.charge(0, level)
		charged, _ := f.exchange(0)
		Expect(charged).To(Equal(1))
		_, _ = f.charge(1, 500)
		d := f.holders[1].Poll(f.now)
		_, err := frozen.Draw(d, f.now)
		Expect(fault.Is(err, fault.NotLeader)).To(BeTrue())
	})

	// Guards against a second burst after a restart: a host spends the whole burst and its
	// process restarts; the leader changes, and the new incarnation reports no charges.
	It("does not rely on a restarted host's report for charges of its earlier incarnation", func() {
		f := newFleet(1, limit)
		drain(f, 0)
		f.exchange(0)
		f.startHost(0)
		f.lease = f.now
		f.incarnations = f.incarnations[1:] // the host table has only the newest incarnation
		f.takeOver()
		f.exchange(0)
		_, _ = f.charge(0, 1500)
		f.exchange(0)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against refused calls inside the rate after a restart of all processes: the new
	// owner had no reports on the time before its hosts started and assumed empty buckets,
	// although no host had charged anything for a second.
	It("assumes no charges while all hosts were starting", func() {
		f := newFleet(2, limit)
		drain(f, 0)
		f.exchange(0)
		f.advance(100 * time.Millisecond)
		for i := range f.holders {
			f.startHost(i)
		}
		f.incarnations = slices.Clone(f.keys)
		f.now = f.now.Add(time.Second)
		f.lease = f.now
		f.takeOver()
		f.exchange(1)
		_, _ = f.charge(0, 800)
		charged, refused := f.exchange(0)
		Expect(charged).To(Equal(1))
		Expect(refused).To(BeZero())
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against a refused first call in a fleet that has just been started: the owner is
	// new and the uptime of every host is shorter than the window, so that the bucket started
	// empty, although no host had charged anything before.
	It("starts full in a fleet where no entry host had an earlier incarnation", func() {
		f := newFleet(1, limit)
		f.lease = f.now
		f.takeOver()
		f.owner().MarkFirstIncarnations(f.incarnations)
		_, _ = f.charge(0, 1500)
		charged, refused := f.exchange(0)
		Expect(charged).To(Equal(1))
		Expect(refused).To(BeZero())
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against a refused call after a leader change while another entry host is idle: the
	// new owner waits for the idle host, which has nothing to report and so sent no message.
	It("gets the report of an idle host within the time that a call waits", func() {
		f := newFleet(2, limit)
		f.exchange(1)
		f.lease = f.now
		f.takeOver()
		f.owner().MarkFirstIncarnations(f.incarnations)
		_, _ = f.charge(0, 1500)
		charged := 0
		for f.now.Sub(start) < workspace.MaxWait {
			n, refused := f.exchange(0)
			Expect(refused).To(BeZero())
			charged += n
			f.exchange(1)
			f.advance(50 * time.Millisecond)
		}
		Expect(charged).To(Equal(1))
	})

	// Guards against more than the burst at once: a long request is refunded after the bucket
	// has refilled, so that the refund adds to a full bucket.
	It("refunds only what the bucket had room for since the charge", func() {
		f := newFleet(1, limit)
		_, _ = f.charge(0, 1000)
		f.exchange(0)
		f.advance(150 * time.Millisecond)
		f.exchange(0)
		f.advance(1350 * time.Millisecond)
		f.extend()
		f.exchange(0)
		_, _ = f.charge(0, 500)
		f.exchange(0)
		f.advance(100 * time.Millisecond)
		f.refund(0, func(_, hi int) int { return hi })
		f.exchange(0)
		f.advance(100 * time.Millisecond)
		_, _ = f.charge(0, 2000)
		f.exchange(0)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
		f.extend()
		f.advance(450 * time.Millisecond)
		charged, _ := f.exchange(0)
		Expect(charged).To(Equal(1), "the refund is no less than the headroom allows")
	})

	// Guards against more than the rate after a leader change: a long request is refunded whose
	// charge is older than the window from which the new owner recovered its bucket.
	It("does not refund what an earlier owner charged", func() {
		f := newFleet(1, limit)
		drain(f, 0)
		first := len(f.oracle.charges) - 1
		for range 30 {
			f.advance(100 * time.Millisecond)
			f.extend()
			f.exchange(0)
		}
		_, _ = f.charge(0, 1000)
		f.exchange(0)
		f.lease = f.now
		f.takeOver()
		f.holders[0].OwnerChanged(f.owner().Epoch())
		f.exchange(0)
		f.refund(first, func(_, hi int) int { return hi })
		f.advance(120 * time.Millisecond)
		f.exchange(0)
		_, _ = f.charge(0, 1800)
		f.exchange(0)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against a grant that is counted twice: the network duplicates a holder's message,
	// and the owner adds a second grant although the holder received only one.
	It("answers a repeated message with the same reply", func() {
		f := newFleet(2, limit)
		_, _ = f.charge(0, 1500)
		d := f.holders[0].Poll(f.now)
		one, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		f.exchange(1)
		f.advance(20 * time.Millisecond) // another host is active, so that a new reply would grant less
		two, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(two).To(Equal(one))
		Expect(f.owner().Levels(f.now)[0].Granted).To(Equal(one.Grants[0].Tokens))
	})

	// Guards against tokens that are charged twice: a host charges from its balance while a
	// message with that balance is in flight, and the reply renews the reported balance.
	It("counts what was charged while a message was in flight", func() {
		f := newFleet(1, limit)
		prefetchAll(f)
		f.advance(30 * time.Millisecond)
		d := f.holders[0].Poll(f.now)
		Expect(d).NotTo(BeNil())
		reply, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		f.chargeUntilQueued(0)
		before := len(f.oracle.charges)
		f.handleOutcomes(0, f.holders[0].Reply(reply, f.now))
		f.chargeUntilQueued(0)
		charged := int64(len(f.oracle.charges)-before) * (f.oracle.limit.Burst / 400)
		Expect(charged).To(BeNumerically("<=", reply.Grants[0].Tokens))
	})

	// Guards against returned tokens that are counted twice: the network delivers an old message
	// with a return again after a newer one.
	It("refuses a message that is older than the newest one", func() {
		f := newFleet(1, limit)
		from := f.keys[0]
		draw := func(d *workspace.Draw) error {
			d.From, d.Epoch = from, 1
			_, err := f.owner().Draw(d, f.now)
			return err
		}
		item := func(i workspace.DrawItem) []workspace.DrawItem { i.Workspace = ws; return []workspace.DrawItem{i} }
		Expect(draw(&workspace.Draw{Sequence: 1, Items: item(workspace.DrawItem{Need: 1000, Want: 1000})})).To(Succeed())
		back := &workspace.Draw{Sequence: 2, Applied: 1, Items: item(workspace.DrawItem{Return: 1000})}
		Expect(draw(back)).To(Succeed())
		Expect(draw(&workspace.Draw{Sequence: 3, Applied: 2, Items: item(workspace.DrawItem{Need: 1500, Want: 1500})})).To(Succeed())
		Expect(fault.Is(draw(back), fault.Conflict)).To(BeTrue())
		Expect(f.owner().Levels(f.now)[0]).To(Equal(workspace.Level{Workspace: ws, Free: 500, Granted: 1500}))
	})

	// Guards against two bursts at once after a leader change: one host cannot reach the new
	// owner and spends its prefetched tokens just before they expire, while the owner grants to
	// the others. It also guards against an owner that waits for that expiry before it grants,
	// which delays all callers of the fleet.
	It("counts an unreachable host's prefetched tokens as granted until they have expired", func() {
		f := newFleet(2, limit)
		prefetchAll(f)
		f.lease = f.now
		f.takeOver()
		began := f.now
		recoverOwner(f)
		Expect(f.now.Sub(began)).To(BeNumerically(">", workspace.ReplyTimeout))
		Expect(f.now.Sub(began)).To(BeNumerically("<", workspace.GrantTTL/2))
		level := f.owner().Levels(f.now)[0]
		Expect(level.Free).To(BeNumerically("<", limit.Burst/4))
		Expect(level.Granted).To(BeNumerically(">=", limit.Burst/32))
		for f.now.Sub(began) < workspace.GrantTTL-60*time.Millisecond {
			_, _ = f.charge(0, f.owner().Levels(f.now)[0].Free)
			f.exchange(0)
			f.extend()
			f.advance(20 * time.Millisecond)
		}
		f.chargeUntilQueued(1)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against the same failure with a bucket that has refilled meanwhile: the new owner
	// grants a whole burst, and the unreachable host spends its prefetched tokens at that time.
	It("keeps headroom for an unreachable host's prefetched tokens in a full bucket", func() {
		f := newFleet(2, workspace.Limit{Rate: 8000, Burst: 2000})
		for range 20 { // host 1 uses enough to prefetch as much as it may
			_, _ = f.charge(1, 150)
			f.exchange(1)
			f.exchange(0)
			f.extend()
			f.advance(50 * time.Millisecond)
		}
		f.lease = f.now
		f.takeOver()
		began := f.now
		recoverOwner(f)
		for f.now.Sub(began) < workspace.GrantTTL-300*time.Millisecond {
			f.exchange(0)
			f.extend()
			f.advance(20 * time.Millisecond)
		}
		_, err := f.charge(0, f.owner().Levels(f.now)[0].Free)
		Expect(err).NotTo(HaveOccurred())
		f.exchange(0)
		f.chargeUntilQueued(0)
		f.chargeUntilQueued(1)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against the same failure with an unreachable host that holds half of a burst: it was
	// granted for a call that was canceled while the reply was in flight. If it is spent once
	// the new owner grants tokens, it exceeds the bound.
	It("leaves an unreachable host no more than its prefetched tokens once a new owner grants", func() {
		f := newFleet(2, limit)
		prefetchAll(f)
		f.advance(2 * time.Second)
		f.extend()
		waits, err := f.charge(1, limit.Burst/2)
		Expect(err).NotTo(HaveOccurred())
		Expect(waits).To(BeTrue())
		d := f.holders[1].Poll(f.clock(1))
		reply, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		f.holders[1].Cancel(ws, fmt.Sprint(f.serial))
		Expect(f.holders[1].Reply(reply, f.clock(1))).To(BeEmpty())
		f.lease = f.now
		f.takeOver()
		recoverOwner(f)
		before := len(f.oracle.charges)
		f.chargeUntilQueued(1)
		spent := int64(0)
		for _, e := range f.oracle.charges[before:] {
			spent += e.tokens
		}
		Expect(spent).To(BeNumerically("<=", limit.Burst/32))
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against refusals by the queue limit of an earlier owner.
	It("queues calls inside the rate while a new owner is recovering", func() {
		f := newFleet(2, limit)
		prefetchAll(f)
		f.advance(2 * time.Second)
		f.extend()
		f.exchange(0)
		f.lease = f.now
		f.takeOver()
		f.outcomes = nil
		for range 3 {
			for range 2 {
				waits, err := f.charge(0, limit.Burst/16)
				Expect(err).NotTo(HaveOccurred())
				Expect(waits).To(BeTrue())
			}
			f.exchange(0)
			f.advance(25 * time.Millisecond)
		}
		for !f.owner().Ready() {
			f.exchange(0)
			f.exchange(1)
			f.advance(25 * time.Millisecond)
			f.extend()
		}
		for range 20 {
			f.exchange(0)
			f.advance(25 * time.Millisecond)
			f.extend()
		}
		Expect(f.outcomes).To(HaveLen(6))
		Expect(f.outcomes).To(HaveEach(HaveField("Err", BeNil())))
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against an owner that starts early although most of the fleet cannot reach it: the
	// prefetched tokens of so many hosts could be a large part of the burst.
	It("waits until the prefetched tokens of many unreachable hosts have expired", func() {
		f := newFleet(20, limit)
		prefetchAll(f)
		f.lease = f.now
		f.takeOver()
		began := f.now
		recoverOwner(f)
		Expect(f.now.Sub(began)).To(BeNumerically(">", workspace.GrantTTL))
		for i := range f.holders {
			f.chargeUntilQueued(i)
		}
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
		Expect(f.owner().Levels(f.now)[0].Free).To(BeNumerically("<", limit.Burst))
	})

	// Guards against charges from a delayed reply of an earlier leader, whose tokens a new owner
	// counts as never received.
	It("charges nothing from a reply that arrives after the reply timeout", func() {
		f := newFleet(2, limit)
		_, _ = f.charge(1, 500)
		d := f.holders[1].Poll(f.clock(1))
		reply, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		f.now = f.now.Add(workspace.ReplyTimeout)
		Expect(f.holders[1].Reply(reply, f.clock(1))).To(BeEmpty())
	})

	// Guards against refused calls inside the rate for seconds after a leader change, because the
	// new owner starts with an empty bucket although all hosts can report.
	It("grants at once when all hosts have reported their charges", func() {
		f := newFleet(3, limit)
		f.advance(5 * time.Second) // longer than the window, so that each host's report covers all of it
		f.extend()
		_, _ = f.charge(0, 500)
		f.exchange(0)
		f.lease = f.now
		f.takeOver()
		for i, h := range f.holders {
			h.OwnerChanged(2)
			f.exchange(i)
		}
		Expect(f.owner().Ready()).To(BeTrue())
		f.advance(drawDelay)
		waits, err := f.charge(1, 1200)
		Expect(err).NotTo(HaveOccurred())
		Expect(waits).To(BeTrue())
		charged, refused := f.exchange(1)
		Expect([]int{charged, refused}).To(Equal([]int{1, 0}))
	})

	// Guards against refused calls for a second after a leader change while most entry hosts are
	// idle: the new owner waits for hosts that have nothing to report and so send no message.
	It("gets the reports of idle hosts within a quarter of a second", func() {
		l := newLoadRun(1, 3, limit)
		l.run(5000, func() {})
		l.f.lease = l.f.now
		l.f.takeOver()
		l.run(260, func() {})
		Expect(l.f.owner().Ready()).To(BeTrue())
		Expect(l.f.owner().Levels(l.f.now)[0].Free).To(Equal(limit.Burst))
	})

	// Guards against calls that are refused on a first start until the buckets have filled,
	// although nothing was charged, because the uptime of the hosts is shorter than the window.
	It("gives a workspace that is new under this owner its whole burst", func() {
		o := workspace.NewOwner(1, nil, []workspace.HostKey{{Host: "h", Incarnation: "1"}}, start)
		o.ExtendLease(start.Add(time.Minute))
		o.Configure(map[string]workspace.Limit{ws: limit}, start)
		_, err := o.Draw(&workspace.Draw{From: workspace.HostKey{Host: "h", Incarnation: "1"}, Sequence: 1, Uptime: time.Millisecond}, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Levels(start)[0].Free).To(Equal(limit.Burst))
	})

	It("refuses a charge above the burst as too large, and others with a retry-after", func() {
		f := newFleet(1, limit)
		_, err := f.charge(0, 2001)
		Expect(fault.Is(err, fault.TooLarge)).To(BeTrue())
		drain(f, 0)
		f.serial++
		_, waits, err := f.holders[0].Charge("late", ws, 1000, f.now.Add(time.Hour), f.now)
		Expect(waits, err).To(BeTrue())
		d := f.holders[0].Poll(f.now)
		reply, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		outcomes := f.holders[0].Reply(reply, f.now)
		Expect(outcomes).To(HaveLen(1))
		e := fault.From(outcomes[0].Err)
		Expect(e.Kind).To(Equal(fault.RateLimited))
		Expect(e.RetryAfter).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	})

	// Guards against a request whose number of tokens overflows to a negative value: the charge
	// would add tokens to the balance.
	It("refuses a negative charge", func() {
		f := newFleet(1, limit)
		_, _, err := f.holders[0].Charge("a", ws, -1, f.now.Add(time.Hour), f.now)
		Expect(fault.Is(err, fault.InvalidRequest)).To(BeTrue())
	})

	// Guards against fault.RateLimited for a call inside the rate when no owner responds.
	It("does not report the rate as exceeded when no owner responds", func() {
		f := newFleet(1, limit)
		_, waits, err := f.holders[0].Charge("a", ws, 100, f.now.Add(time.Hour), f.now)
		Expect(waits, err).To(BeTrue())
		Expect(f.holders[0].Poll(f.now)).NotTo(BeNil())
		f.now = f.now.Add(workspace.MaxWait)
		Expect(f.holders[0].Tick(f.now)).To(BeEmpty(), "a new owner may still respond")
		f.now = f.now.Add(workspace.MaxOwnerWait - workspace.MaxWait)
		outcomes := f.holders[0].Tick(f.now)
		Expect(outcomes).To(HaveLen(1))
		Expect(fault.Is(outcomes[0].Err, fault.NoQuorum)).To(BeTrue())
	})

	// Guards against calls inside the rate that are refused as over it while a leader election
	// takes place. They wait for the new owner, also while it is recovering its buckets.
	It("lets calls wait through an election and the recovery after it", func() {
		f := newFleet(2, limit)
		prefetchAll(f)
		f.now = f.now.Add(2 * time.Second) // the held grants have expired, and no owner responds
		_, waits, err := f.holders[0].Charge("a", ws, 100, f.now.Add(time.Hour), f.now)
		Expect(waits, err).To(BeTrue())
		f.now = f.now.Add(2 * workspace.MaxWait)
		Expect(f.holders[0].Tick(f.now)).To(BeEmpty())
		f.lease = f.now
		f.takeOver()
		charged, refused := f.exchange(0)
		for range 10 {
			f.advance(50 * time.Millisecond)
			f.exchange(1)
			c, r := f.exchange(0)
			charged, refused = charged+c, refused+r
		}
		Expect(refused).To(BeZero())
		Expect(charged).To(Equal(1))
	})
})

// drawDelay is long enough that a holder sends its next message after the first reply.
const drawDelay = 30 * time.Millisecond

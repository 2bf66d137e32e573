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

// settled runs small calls on every host until each holds a stock.
func settled(f *fleet) {
	for range 20 {
		for i := range f.holders {
			_, _ = f.charge(i, f.oracle.limit.Burst/80)
			f.exchange(i)
		}
		f.extend()
		f.advance(100 * time.Millisecond)
	}
}

// settleOwner has the first host call until the present owner knows the buckets.
func settleOwner(f *fleet) {
	for !f.owner().Ready() {
		_, _ = f.charge(0, 100)
		f.exchange(0)
		f.advance(50 * time.Millisecond)
		f.extend()
	}
}

// drain charges all that the oracle has, at one host.
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

	// A workspace is charged twice its burst in one moment. An entry host holds a
	// stock of tokens and freezes; its grants lapse, the bucket fills, another host
	// spends it all; then the frozen host wakes up and serves calls from its stock.
	It("keeps a frozen holder from spending lapsed grants", func() {
		f := newFleet(2, limit)
		settled(f)
		f.now = f.now.Add(10 * time.Second)
		f.extend()
		f.exchange(1)
		drain(f, 1)
		level, _ := f.oracle.replay(f.now)
		Expect(level).To(BeNumerically("<", 1))
		f.chargeHeld(0)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Two bursts in one moment: the leader freezes, another takes over and grants the
	// bucket; the first wakes up and answers the messages that wait at its door.
	It("keeps a frozen owner from granting after its lease", func() {
		f := newFleet(2, limit)
		settled(f)
		frozen := f.owner()
		f.takeOver()
		settleOwner(f)
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

	// Calls get a second burst after a restart: a host spends the whole burst and its
	// process restarts; the leader changes, and the new run states that it spent nothing.
	It("does not take a restarted host's word for what its earlier run spent", func() {
		f := newFleet(1, limit)
		drain(f, 0)
		f.exchange(0)
		f.startHost(0)
		f.lease = f.now
		f.all = f.all[1:] // the table of hosts knows only the newest run
		f.takeOver()
		f.exchange(0)
		_, _ = f.charge(0, 1500)
		f.exchange(0)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// All processes lose power and start again. Their callers come back at once, inside
	// the rate, and were refused: the new owner knew nothing of the time before its hosts
	// started and took the buckets for empty, though nobody had spent for a second.
	It("knows that nobody spent while all hosts were starting", func() {
		f := newFleet(2, limit)
		drain(f, 0)
		f.exchange(0)
		f.advance(100 * time.Millisecond)
		for i := range f.holders {
			f.startHost(i)
		}
		f.all = slices.Clone(f.keys)
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

	// A fleet has just been started and a workspace's first call is refused as over
	// its rate: the leader that owns the bucket is new, every entry host is younger
	// than the window, and so the bucket starts empty, though nobody drew before.
	It("starts full in a fleet where no entry host had an earlier run", func() {
		f := newFleet(1, limit)
		f.lease = f.now
		f.takeOver()
		f.owner().FirstRuns(f.all)
		_, _ = f.charge(0, 1500)
		charged, refused := f.exchange(0)
		Expect(charged).To(Equal(1))
		Expect(refused).To(BeZero())
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Two entry hosts run and one of them is idle. The leader changes, and the next
	// call at the busy one is refused as over its rate: the new owner waits for the
	// idle host's statement, which has nothing to say and so says nothing.
	It("hears from an idle host within the time that a call waits", func() {
		f := newFleet(2, limit)
		f.exchange(1)
		f.lease = f.now
		f.takeOver()
		f.owner().FirstRuns(f.all)
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

	// A workspace spends more than its burst in one moment: a long request ends and is
	// refunded after the bucket had filled up again, so that its tokens come on top.
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
		Expect(charged).To(Equal(1), "and no less than that")
	})

	// A workspace spends more than its rate after a change of leader: a long request,
	// charged before the window that the new owner began from, ends and is refunded.
	It("does not refund what an earlier owner charged", func() {
		f := newFleet(1, limit)
		drain(f, 0)
		first := len(f.oracle.events) - 1
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

	// Twice the tokens of one grant: the network repeats a holder's message, and a
	// second reply adds to the owner's account what the holder received once.
	It("answers a repeated message with the same reply", func() {
		f := newFleet(2, limit)
		_, _ = f.charge(0, 1500)
		d := f.holders[0].Poll(f.now)
		one, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		f.exchange(1)
		f.advance(20 * time.Millisecond) // another host is active: a new answer would be smaller
		two, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(two).To(Equal(one))
		Expect(f.owner().Levels(f.now)[0].Granted).To(Equal(one.Grants[0].Tokens))
	})

	// A host serves the same tokens twice: it charges from its stock while a message is
	// under way that stated the stock, and the reply renews what was stated.
	It("counts what was charged while a message was under way", func() {
		f := newFleet(1, limit)
		settled(f)
		f.advance(30 * time.Millisecond)
		d := f.holders[0].Poll(f.now)
		Expect(d).NotTo(BeNil())
		reply, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		f.chargeHeld(0)
		before := len(f.oracle.events)
		f.take(0, f.holders[0].Reply(reply, f.now))
		f.chargeHeld(0)
		charged := int64(len(f.oracle.events)-before) * (f.oracle.limit.Burst / 400)
		Expect(charged).To(BeNumerically("<=", reply.Grants[0].Tokens))
	})

	// A workspace spends returned tokens twice: the network delivers an old message, in
	// which a host gave tokens back, again after a newer one.
	It("refuses a message that is older than the newest", func() {
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

	// Two bursts in one moment: the leader is lost and one host cannot reach the new
	// one, but still holds its stock. The new owner grants to the others meanwhile, and
	// the silent host spends the stock at the last moment of its validity. (The owner
	// once waited for that lapse instead, and all callers of the fleet with it.)
	It("counts a silent host's stock as granted until it has lapsed", func() {
		f := newFleet(2, limit)
		settled(f)
		f.lease = f.now
		f.takeOver()
		began := f.now
		settleOwner(f)
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
		f.chargeHeld(1)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// The same where the bucket has filled up meanwhile: the new owner grants a whole
	// burst, and the silent host's stock comes on top in the same moment.
	It("keeps room for a silent host's stock in a full bucket", func() {
		f := newFleet(2, workspace.Limit{Rate: 8000, Burst: 2000})
		for range 20 { // host 1 uses enough to hold a whole stock
			_, _ = f.charge(1, 150)
			f.exchange(1)
			f.exchange(0)
			f.extend()
			f.advance(50 * time.Millisecond)
		}
		f.lease = f.now
		f.takeOver()
		began := f.now
		settleOwner(f)
		for f.now.Sub(began) < workspace.GrantTTL-300*time.Millisecond {
			f.exchange(0)
			f.extend()
			f.advance(20 * time.Millisecond)
		}
		_, err := f.charge(0, f.owner().Levels(f.now)[0].Free)
		Expect(err).NotTo(HaveOccurred())
		f.exchange(0)
		f.chargeHeld(0)
		f.chargeHeld(1)
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// As before, but the silent host has most of a burst in hand: it drew that for a
	// call whose caller left while the reply was on its way. Spent after the new owner
	// has begun, it would come on top of what that one grants.
	It("leaves a silent host no more than its stock once a new owner grants", func() {
		f := newFleet(2, limit)
		settled(f)
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
		settleOwner(f)
		before := len(f.oracle.events)
		f.chargeHeld(1)
		spent := int64(0)
		for _, e := range f.oracle.events[before:] {
			spent += e.tokens
		}
		Expect(spent).To(BeNumerically("<=", limit.Burst/32))
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against refusals by the queue limit of an owner that does not exist any more.
	It("holds calls inside the rate while a new owner collects statements", func() {
		f := newFleet(2, limit)
		settled(f)
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

	// Half of the fleet cannot reach the new leader. The stocks of so many hosts could
	// be a whole burst: the owner begins when they have lapsed.
	It("waits until the stocks of many silent hosts have lapsed", func() {
		f := newFleet(20, limit)
		settled(f)
		f.lease = f.now
		f.takeOver()
		began := f.now
		settleOwner(f)
		Expect(f.now.Sub(began)).To(BeNumerically(">", workspace.GrantTTL))
		for i := range f.holders {
			f.chargeHeld(i)
		}
		Expect(f.oracle.overrun()).To(BeNumerically("<=", tolerance))
		Expect(f.owner().Levels(f.now)[0].Free).To(BeNumerically("<", limit.Burst))
	})

	// An answer of the leader that was lost comes late, when a new one counts what is
	// in it as never received.
	It("charges nothing from a reply that comes after the wait for it", func() {
		f := newFleet(2, limit)
		_, _ = f.charge(1, 500)
		d := f.holders[1].Poll(f.clock(1))
		reply, err := f.owner().Draw(d, f.now)
		Expect(err).NotTo(HaveOccurred())
		f.now = f.now.Add(workspace.ReplyTimeout)
		Expect(f.holders[1].Reply(reply, f.clock(1))).To(BeEmpty())
	})

	// A caller inside its rate is refused for seconds after a change of leader, because
	// the new owner starts from an empty bucket although all hosts can be asked.
	It("grants at once when all hosts have told what they spent", func() {
		f := newFleet(3, limit)
		f.advance(5 * time.Second) // longer than the window: each host can speak for all of it
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
		f.advance(settleStep)
		waits, err := f.charge(1, 1200)
		Expect(err).NotTo(HaveOccurred())
		Expect(waits).To(BeTrue())
		charged, refused := f.exchange(1)
		Expect([]int{charged, refused}).To(Equal([]int{1, 0}))
	})

	// The leader is lost while most entry hosts are idle: a caller at a busy one is
	// refused for a second, because the new owner waits for hosts that have nothing to
	// say and so say nothing.
	It("hears idle hosts within a quarter of a second", func() {
		l := newLoadRun(1, 3, limit)
		l.run(5000, func() {})
		l.f.lease = l.f.now
		l.f.takeOver()
		l.run(260, func() {})
		Expect(l.f.owner().Ready()).To(BeTrue())
		Expect(l.f.owner().Levels(l.f.now)[0].Free).To(Equal(limit.Burst))
	})

	// At a first start all calls are refused until the buckets have filled, although
	// nobody has used anything: the hosts are younger than the window.
	It("gives a workspace that is new under this owner its whole burst", func() {
		o := workspace.NewOwner(1, nil, []workspace.HostKey{{Host: "h", Incarnation: "1"}}, start)
		o.Extend(start.Add(time.Minute))
		o.Configure(map[string]workspace.Limit{ws: limit}, start)
		_, err := o.Draw(&workspace.Draw{From: workspace.HostKey{Host: "h", Incarnation: "1"}, Sequence: 1, Uptime: time.Millisecond}, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Levels(start)[0].Free).To(Equal(limit.Burst))
	})

	It("refuses for good what no wait can meet, and says when to come back otherwise", func() {
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

	// A caller asks for so many tokens that their sum overflows; its workspace then has
	// more to spend than before the call.
	It("takes no charge below zero", func() {
		f := newFleet(1, limit)
		_, _, err := f.holders[0].Charge("a", ws, -1, f.now.Add(time.Hour), f.now)
		Expect(fault.Is(err, fault.InvalidRequest)).To(BeTrue())
	})

	// A caller is told to slow down although it is inside its rate: no owner answers.
	It("does not blame the rate when no owner answers", func() {
		f := newFleet(1, limit)
		_, waits, err := f.holders[0].Charge("a", ws, 100, f.now.Add(time.Hour), f.now)
		Expect(waits, err).To(BeTrue())
		Expect(f.holders[0].Poll(f.now)).NotTo(BeNil())
		f.now = f.now.Add(workspace.MaxWait)
		Expect(f.holders[0].Tick(f.now)).To(BeEmpty(), "an owner may still come")
		f.now = f.now.Add(workspace.MaxOwnerWait - workspace.MaxWait)
		outcomes := f.holders[0].Tick(f.now)
		Expect(outcomes).To(HaveLen(1))
		Expect(fault.Is(outcomes[0].Err, fault.NoQuorum)).To(BeTrue())
	})

	// The control leader dies, and for the second that the election takes callers
	// inside their rate are refused as over it. They wait for the new owner instead,
	// also while that one still collects what was spent.
	It("lets calls wait through an election and the settling after it", func() {
		f := newFleet(2, limit)
		settled(f)
		f.now = f.now.Add(2 * time.Second) // what was held has lapsed, and no owner answers
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

// settleStep lets a holder send again after its first answer.
const settleStep = 30 * time.Millisecond

package e2e

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/ctl/load"
	"cowsliptiller/standin/engine"
)

// A fault comes while mixed traffic of several workspaces runs: lookups, streams,
// whole answers, and calls that may not be repeated. Whatever happens, each caller
// gets one final answer by its deadline, whole and its own or an honest refusal;
// what was told "not run" did not run; nothing that may not be repeated ran twice.
var _ = Describe("mixed traffic under a fault", func() {
	// least is the share of requests that must be answered all the same: a fleet
	// that refuses everything would keep every promise and serve nobody.
	DescribeTable("keeps every promise",
		func(seed uint64, least float64, fault func(*fleet)) {
			f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
			f.configure(vaalkop.example, vaalkop.workspaces...)
			f.warm(vaalkop)
			w := f.watchReplicas()
			outcomes := traffic(vaalkop.plan(f, seed, 40, 6*time.Second), 40, func() { fault(f) })
			w.finish()
			judge(f, outcomes, f.executions(), longestDeadline)
			Expect(answeredShare(outcomes)).To(BeNumerically(">=", least), table(outcomes))
			AddReportEntry("callers", table(outcomes))
		},
		// The leader's host dies. The others elect a new one; work that is loaded
		// goes on meanwhile, and claims wait for the new leader.
		Entry("control leader killed and started again", uint64(11), 0.7, killLeader),
		// The leader's process is paused past its lease and wakes up believing that
		// it leads. Its lease has lapsed by its own clock, so it decides nothing.
		Entry("control leader frozen past its lease, then woken", uint64(12), 0.7, freezeLeader),
		// An agent dies with requests running at its target. The target goes on; the
		// agent comes back, asks what is loaded, and only then obeys orders.
		Entry("agent killed and started again", uint64(13), 0.4, killAgent),
		Entry("the service's agent killed twice", uint64(14), 0.3, func(f *fleet) {
			for range 2 {
				f.agents[2].kill()
				f.agents[2].start()
				f.agents[2].waitReady()
			}
		}),
		// An agent is paused until control counts it as gone, then wakes and finds
		// requests whose callers have long been answered.
		Entry("agent frozen until its lease lapsed, then woken", uint64(15), 0.3, freezeAgent),
		// An entry host is paused past its freshness lease with requests in hand. It
		// wakes with an old view and lapsed grants, and must act on neither.
		Entry("entry host frozen until its lease lapsed, then woken", uint64(25), 0.3, freezeEntry),
		// A target's engine crashes and comes back empty; its agent notices and the
		// model is loaded again.
		Entry("engine crashed", uint64(16), 0.4, crashEngines),
		// Something on the path loses track of open connections: both ends believe
		// that they are open and nothing arrives. New connections work.
		Entry("connections to the agents went silent", uint64(17), 0.5, silenceAgents),
		Entry("connections to the targets went silent", uint64(18), 0.4, silenceTargets),
		Entry("connections to the control members went silent, twice", uint64(19), 0.5, func(f *fleet) {
			for range 2 {
				for _, r := range f.toControl {
					r.silence()
				}
				f.leader()
			}
		}),
		Entry("a control member cut off until the others moved on", uint64(20), 0.7, cutLeader),
		Entry("the weight store ten times slower, and an engine crashed", uint64(21), 0.2, func(f *fleet) {
			f.faults(0, engine.Faults{LoadSlowFactor: 10})
			f.faults(1, engine.Faults{LoadSlowFactor: 10})
			f.crash(0)
		}),
		Entry("control leader killed while connections to the agents are silent", uint64(22), 0.3, func(f *fleet) {
			i := f.leader()
			f.controls[i].kill()
			for _, r := range f.toAgent {
				r.silence()
			}
			f.controls[i].start()
		}),
		// A target closes the connection after it has read and run a call, so that
		// nobody hears the outcome. A call that may not be repeated is not sent again.
		Entry("the service closes after reading", uint64(23), 0.3, func(f *fleet) {
			f.faults(2, engine.Faults{CloseAfterRead: true})
		}),
		Entry("half answers", uint64(24), 0.1, func(f *fleet) {
			for i := range f.standins {
				f.faults(i, engine.Faults{TruncateResponse: true})
			}
		}),
	)

	// An entry host dies; its callers see their connections break, and nobody can
	// answer them. All others get their answers, and no call ran twice.
	It("keeps every promise to the callers of the other entry host when one dies", func() {
		f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
		f.configure(vaalkop.example, vaalkop.workspaces...)
		f.warm(vaalkop)
		outcomes := traffic(vaalkop.plan(f, 31, 40, 5*time.Second), 40, func() { f.entries[0].kill() })
		executions := f.executions()
		var others []load.Outcome
		for _, o := range outcomes {
			if o.Request.Entry == at(f.callers[1]) {
				others = append(others, o)
			}
		}
		judge(f, others, executions, longestDeadline)
		Expect(answeredShare(others)).To(BeNumerically(">=", 0.8), table(others))
		judgeCalls(executions)
	})

	// A process is told to stop while streams run. Every stream that a target began
	// is answered whole, and the process exits with 0. A request that comes later
	// may find the listener closed; then no target has seen it.
	DescribeTable("a graceful shutdown cuts no stream",
		func(who func(*fleet) *process) {
			f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
			f.configure(vaalkop.example, vaalkop.workspaces...)
			f.warm(vaalkop)
			p := vaalkop.plan(f, 41, 30, time.Second)
			p.Mix = map[load.Shape]int{load.ShapeStream: 1}
			p.MaxTokens = 1500
			p.Class = map[load.Shape]string{load.ShapeStream: "manifest-summary"} // its deadline is no part of this test
			stopping, begun := who(f), len(f.executions())
			done := make(chan []load.Outcome, 1)
			go func() {
				defer GinkgoRecover()
				done <- traffic(p, 1, func() {})
			}()
			Eventually(func() int { return len(f.executions()) }, patience, "20ms").Should(BeNumerically(">", begun+10))
			stopping.signal(syscall.SIGTERM)
			outcomes := <-done
			stopping.waitExit()
			Expect(stopping.err).NotTo(HaveOccurred(), stopping.tail())
			ran := byDigest(f.executions())
			for _, o := range outcomes {
				Expect(o.Result).NotTo(BeElementOf(load.Broken, load.Wrong), "%+v", o)
				if o.Result != load.Answered {
					Expect(ran[digest(o.Request.Body)]).To(BeEmpty(), "a stream that ran was not answered: %+v", o)
				}
			}
			Expect(answeredShare(outcomes)).To(BeNumerically(">", 0.3), table(outcomes))
		},
		Entry("of an entry host", func(f *fleet) *process { return f.entries[0] }),
		Entry("of an agent", func(f *fleet) *process { return f.agents[0] }),
		Entry("of the control leader", func(f *fleet) *process { return f.controls[f.leader()] }),
	)
})

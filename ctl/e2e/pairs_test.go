package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// killLeader: control leader killed and started again.
func killLeader(f *fleet) {
	i := f.leader()
	f.controls[i].kill()
	f.waitOtherLeader(i)
	f.controls[i].start()
	f.controls[i].waitReady()
}

// freezeLeader: control leader frozen past its lease, then woken.
func freezeLeader(f *fleet) {
	i := f.leader()
	freeze(f.controls[i], func() bool { return f.leaderBut(i) >= 0 })
}

// killAgent: agent killed and started again.
func killAgent(f *fleet) {
	f.agents[0].kill()
	f.agents[0].start()
}

// freezeAgent: agent frozen until its lease lapsed, then woken.
func freezeAgent(f *fleet) {
	freeze(f.agents[1], func() bool { return !f.live("agent-2") })
}

// freezeEntry: entry host frozen until its lease lapsed, then woken.
func freezeEntry(f *fleet) {
	freeze(f.entries[0], func() bool { return !f.live("entry-1") })
}

// crashEngines: engine crashed.
func crashEngines(f *fleet) {
	f.crash(0)
	f.crash(1)
}

// silenceAgents: connections to the agents went silent.
func silenceAgents(f *fleet) {
	for _, r := range f.toAgent {
		r.silence()
	}
}

// silenceTargets: connections to the targets went silent.
func silenceTargets(f *fleet) {
	for _, r := range f.toTarget {
		r.silence()
	}
}

// cutLeader: a control member cut off until the others moved on.
func cutLeader(f *fleet) {
	i := f.leader()
	f.toControl[i].partition()
	f.waitOtherLeader(i)
	f.toControl[i].heal()
}

// namedFault is a fault that pairs are drawn from.
type namedFault struct {
	name string
	do   func(*fleet)
}

var allFaults = []namedFault{
	{"control leader killed", killLeader},
	{"control leader frozen", freezeLeader},
	{"control leader cut off", cutLeader},
	{"agent killed", killAgent},
	{"agent frozen", freezeAgent},
	{"entry host frozen", freezeEntry},
	{"engines crashed", crashEngines},
	{"connections to agents silent", silenceAgents},
	{"connections to targets silent", silenceTargets},
}

// pairsInCI is how many pairs a run draws. COWSLIP_E2E_PAIRS=N draws N, for longer runs.
const pairsInCI = 2

func pairs() int {
	n, err := strconv.Atoi(os.Getenv("COWSLIP_E2E_PAIRS"))
	if err != nil || n < 1 {
		return pairsInCI
	}
	return n
}

// touchLeader says whether a fault needs a leader to act on: two of them at once
// would leave a group of three without a quorum, and wait for each other.
func touchLeader(i int) bool { return i < 3 }

// drawPair draws two faults that can come together.
func drawPair(rng *rand.Rand) (a, b namedFault) {
	for {
		i, j := rng.IntN(len(allFaults)), rng.IntN(len(allFaults))
		if i != j && !(touchLeader(i) && touchLeader(j)) {
			return allFaults[i], allFaults[j]
		}
	}
}

// Two faults come at the same moment, and then the same two again, while mixed
// traffic runs. What holds under one must hold under both.
var _ = Describe("mixed traffic under two faults at once, twice", func() {
	for i := range pairs() {
		seed := uint64(100 + i)
		rng := rand.New(rand.NewPCG(seed, 1))
		a, b := drawPair(rng)
		It(fmt.Sprintf("keeps every promise: %s and %s (seed %d)", a.name, b.name, seed), func() {
			f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
			f.configure(vaalkop.example, vaalkop.workspaces...)
			f.warm(vaalkop)
			w := f.watchReplicas()
			outcomes := traffic(vaalkop.plan(f, seed, 30, 10*time.Second), 30, func() {
				for range 2 {
					f.together(a, b)
				}
			})
			w.finish()
			judge(f, outcomes, f.executions(), longestDeadline)
			AddReportEntry("callers", table(outcomes))
		})
	}
})

// together does two faults at once and returns when both are over.
func (f *fleet) together(a, b namedFault) {
	var wg sync.WaitGroup
	for _, fault := range []namedFault{a, b} {
		wg.Go(func() {
			defer GinkgoRecover()
			fault.do(f)
		})
	}
	wg.Wait()
	for _, p := range f.all() {
		Expect(p.running()).To(BeTrue(), func() string { return p.name + " exited:\n" + p.tail() })
	}
}

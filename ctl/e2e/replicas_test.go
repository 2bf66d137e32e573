package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/ctl/client"
	"cowsliptiller/ctl/load"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/standin/engine"
)

// held is what a target says that it holds.
type held struct {
	UsedBytes int64          `json:"used_bytes"`
	Models    []engine.Model `json:"models"`
}

// holds asks a target itself; ok is false while it is down.
func (f *fleet) holds(i int) (h held, ok bool) {
	resp, err := http.Get("http://" + f.standins[i] + "/admin/status")
	if err != nil {
		return h, false
	}
	defer resp.Body.Close()
	return h, json.NewDecoder(resp.Body).Decode(&h) == nil
}

// replica names a model at a target.
type replica struct{ model, target string }

// watcher compares, again and again, what targets hold with what was decided.
type watcher struct {
	f       *fleet
	control *client.Client
	stop    chan struct{}
	done    sync.WaitGroup
	looks   int
	excess  []replica // held and not decided
}

// watchReplicas begins to compare; finish ends it and judges.
func (f *fleet) watchReplicas() *watcher {
	w := &watcher{f: f, control: client.New(f.operators, "a token for tests only", "watcher"), stop: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

func (w *watcher) run() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.look()
		}
	}
}

// look asks control before and after the targets: a model that a target held in
// between was decided in one of the two, unless nobody decided it.
func (w *watcher) look() {
	before, ok := w.decided()
	if !ok {
		return
	}
	var found []replica
	for i := range w.f.standins {
		h, _ := w.f.holds(i)
		for _, m := range h.Models {
			found = append(found, replica{m.Name, w.f.names[i]})
		}
	}
	after, ok := w.decided()
	if !ok {
		return
	}
	w.looks++
	for _, r := range found {
		if !before[r] && !after[r] {
			w.excess = append(w.excess, r)
		}
	}
}

func (w *watcher) decided() (map[replica]bool, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	list, err := client.Call(ctx, w.control, func(ctx context.Context, o *operators.Client) (*operators.ReplicaList, error) {
		return o.Replicas(ctx, &operators.ReplicasPayload{})
	})
	if err != nil {
		return nil, false
	}
	decided := map[replica]bool{}
	for _, r := range list.Replicas {
		decided[replica{r.Model, r.Target}] = true
	}
	return decided, true
}

func (w *watcher) finish() {
	close(w.stop)
	w.done.Wait()
	Expect(w.looks).To(BeNumerically(">", 0), "control never told what was decided")
	Expect(w.excess).To(BeEmpty(), "targets held what was not decided")
}

var _ = Describe("loads as separate processes", func() {
	// An agent dies in the middle of a load. The engine goes on loading; the agent
	// comes back, must not count that memory as free, and must not load twice.
	It("serves all the same when an agent dies in the middle of a load", func() {
		f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
		f.configure(vaalkop.example, vaalkop.workspaces...)
		for i := range 2 {
			f.faults(i, engine.Faults{LoadSlowFactor: 2})
		}
		w := f.watchReplicas()
		p := vaalkop.plan(f, 91, 20, 8*time.Second)
		p.Mix = map[load.Shape]int{load.ShapeWhole: 1}
		outcomes := traffic(p, 0, func() {
			loading := -1
			Eventually(func() int {
				loading = f.loading()
				return loading
			}, patience, "10ms").Should(BeNumerically(">=", 0))
			f.agents[loading].kill()
			f.agents[loading].start()
		})
		w.finish()
		judge(f, outcomes, f.executions(), longestDeadline)
		Expect(answeredShare(outcomes)).To(BeNumerically(">=", 0.3), table(outcomes))
		for i := range 2 {
			Expect(f.record(i).PeakBytes).To(BeNumerically("<=", int64(56)<<30))
		}
	})

	// Many models wake at once at targets of which one ignores fencing numbers, while
	// the leader that decided the loads dies. Orders of the old leader must not add
	// replicas to those that the new one decides.
	It("holds no more than was decided while leaders change and models wake", func() {
		f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
		f.configure(vaalkop.example, vaalkop.workspaces...)
		w := f.watchReplicas()
		p := vaalkop.plan(f, 92, 15, 10*time.Second)
		p.Mix = map[load.Shape]int{load.ShapeWhole: 1}
		p.Models = nil
		for _, m := range []string{"001", "002", "004", "005", "007", "009", "010", "012", "014", "015", "020", "025"} {
			p.Models = append(p.Models, "vaalkop-m"+m)
		}
		outcomes := traffic(p, 15, func() {
			i := f.leader()
			f.controls[i].kill()
			f.waitOtherLeader(i)
			f.controls[i].start()
			f.crash(1)
		})
		w.finish()
		judge(f, outcomes, f.executions(), longestDeadline)
	})
})

var _ = Describe("a model whose agent shuts down", func() {
	// An agent is restarted, as hundreds are on a day. The model that it held is
	// wanted at once; it is loaded at another target, and the caller gets an answer.
	It("is loaded elsewhere for the next request", func() {
		f := newFleet(size{controls: 3, entries: 1, targets: vaalkop.targets})
		f.configure(vaalkop.example, "drivers")
		const model = "vaalkop-m005"
		Expect(f.ask(0, "drivers", "/v1/completions", completion(model, "before", 4)).status).To(Equal(http.StatusOK))
		holder := slices.IndexFunc([]int{0, 1}, func(i int) bool {
			h, _ := f.holds(i)
			return len(h.Models) > 0
		})
		Expect(holder).To(BeNumerically(">=", 0))
		begun := time.Now()
		f.agents[holder].signal(syscall.SIGTERM)
		f.agents[holder].waitExit()
		f.toAgent[holder].close() // connections to the agent are refused, as without a relay
		got := f.ask(0, "drivers", "/v1/completions", completion(model, "after", 4))
		AddReportEntry("from the signal to the answer", time.Since(begun).String(), ReportEntryVisibilityAlways)
		Expect(got.status).To(Equal(http.StatusOK), got.body)
	})
})

// loading returns a target that loads a model now, or -1.
func (f *fleet) loading() int {
	for i := range f.standins {
		h, _ := f.holds(i)
		for _, m := range h.Models {
			if m.State == "loading" {
				return i
			}
		}
	}
	return -1
}

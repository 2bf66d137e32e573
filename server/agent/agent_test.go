package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/agent"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

const generous = 20 * time.Second

// clock is moved by the test.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakeTarget is an engine's memory, and what was ordered of it.
type fakeTarget struct {
	agent.Target // calls that these tests never make

	mu      sync.Mutex
	models  []agent.LoadedModel
	orders  []string
	asked   int // for its status
	lose    bool
	halfway bool
	silent  bool
}

func (t *fakeTarget) Status(context.Context) (*agent.Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if t.silent {
		return nil, fault.New(fault.Unavailable, "silent")
	}
	return &agent.Status{Models: slices.Clone(t.models)}, nil
}

func (t *fakeTarget) Load(_ context.Context, o agent.ModelOrder) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = append(t.orders, "load "+o.Model)
	t.models = append(t.models, agent.LoadedModel{Name: o.Model, Version: o.Version, Bytes: o.Bytes, Fencing: o.Fencing, Loaded: !t.halfway})
	if t.lose || t.halfway {
		return fault.New(fault.TargetFailed, "no answer")
	}
	return nil
}

func (t *fakeTarget) Unload(_ context.Context, o agent.ModelOrder) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = append(t.orders, "unload "+o.Model)
	t.models = slices.DeleteFunc(t.models, func(m agent.LoadedModel) bool { return m.Name == o.Model })
	return nil
}

func (t *fakeTarget) ordered() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.orders)
}

func (t *fakeTarget) looks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asked
}

// fakeControl takes confirmations, and is the agent's view.
type fakeControl struct {
	rpc.Control

	mu        sync.Mutex
	snapshot  *view.Snapshot
	changed   chan struct{}
	confirmed []string
	stale     bool
}

func (c *fakeControl) Current() *view.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

func (c *fakeControl) Fresh(time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stale
}

func (c *fakeControl) setStale(stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = stale
}

func (c *fakeControl) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// show puts another view in the place of the one before.
func (c *fakeControl) show(change func(*view.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.snapshot
	next.Revision++
	change(&next)
	c.snapshot = &next
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) Confirm(_ context.Context, r *rpc.ConfirmRequest) (*rpc.ConfirmResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, confirmed := range r.Confirmations {
		word := "gone "
		if confirmed.Loaded {
			word = "loaded "
		}
		line := strings.TrimSpace(word + confirmed.Model + " " + confirmed.Reason)
		if !slices.Contains(c.confirmed, line) {
			c.confirmed = append(c.confirmed, line)
		}
	}
	return &rpc.ConfirmResponse{}, nil
}

func (c *fakeControl) heard() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.confirmed)
}

// decided is a view in which the target e1 (40 GiB for weights) is to hold the
// models, 14 GiB each, in the given states.
func decided(states map[string]coordpb.ReplicaState) *fakeControl {
	c := &config.Configuration{
		Targets: map[string]config.TargetSpec{"e1": {Name: "e1", Kind: config.KindEngine, MemoryBytes: 40 << 30, Concurrency: 4}},
		Models:  map[string]config.ModelSpec{},
	}
	s := &view.Snapshot{Revision: 1, Configuration: c, Replicas: map[string][]*coordpb.Replica{}}
	for _, model := range []string{"m1", "m2", "m3"} {
		c.Models[model] = config.ModelSpec{Name: model, Version: "1", Bytes: 14 << 30}
		if state, ok := states[model]; ok {
			s.Replicas[model] = []*coordpb.Replica{{Model: model, Target: "e1", Fencing: 7, State: state}}
		}
	}
	return &fakeControl{snapshot: s, changed: make(chan struct{})}
}

const (
	toLoad   = coordpb.ReplicaState_REPLICA_STATE_LOAD
	ready    = coordpb.ReplicaState_REPLICA_STATE_READY
	toUnload = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
)

// start starts an agent whose clock stands still.
func start(target agent.Target, control *fakeControl) (*agent.Agent, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	a := agent.New(agent.Config{
		Settings:  settings.Agent{Target: "e1"},
		Source:    control,
		Control:   control,
		Target:    target,
		Log:       hclog.NewNullLogger(),
		Now:       c.read,
		Reconcile: time.Millisecond,
		Bodies:    intake.NewReader(284<<20, time.Now),
	})
	Expect(a.Start(context.Background())).To(Succeed())
	DeferCleanup(a.Close)
	return a, c
}

func held(model string) agent.LoadedModel {
	return agent.LoadedModel{Name: model, Version: "1", Bytes: 14 << 30, Fencing: 7, Loaded: true}
}

var _ = Describe("an agent and the replicas that were decided", func() {
	// An agent dies while a load that it ordered is still on its way, and starts
	// again. It gave its own orders at once, and the engine held both.
	It("obeys no order after its start before it knows what its target holds", func() {
		target := &fakeTarget{models: []agent.LoadedModel{held("m1")}}
		control := decided(map[string]coordpb.ReplicaState{"m2": toLoad})
		_, clock := start(target, control)
		Eventually(target.looks).WithTimeout(generous).Should(BeNumerically(">", 5))
		Expect(target.ordered()).To(BeEmpty())
		clock.advance(3 * time.Second)
		Eventually(control.heard).WithTimeout(generous).Should(ContainElement("loaded m2"))
		Eventually(target.ordered).WithTimeout(generous).Should(ConsistOf("unload m1", "load m2"))
	})

	// Three replicas are decided and two fit, because control's view of the
	// target was old. The third load was ordered, and the engine ran out of memory.
	It("orders no load that does not fit, and says so", func() {
		target := &fakeTarget{}
		control := decided(map[string]coordpb.ReplicaState{"m1": toLoad, "m2": toLoad, "m3": toLoad})
		_, clock := start(target, control)
		clock.advance(3 * time.Second)
		Eventually(control.heard).WithTimeout(generous).Should(ConsistOf("loaded m1", "loaded m2", "gone m3 no_capacity"))
		Expect(target.ordered()).To(ConsistOf("load m1", "load m2"))
	})

	// A load's answer is lost, and the model is there all the same.
	It("believes the target's word over a lost answer", func() {
		target := &fakeTarget{lose: true}
		control := decided(map[string]coordpb.ReplicaState{"m1": toLoad})
		_, clock := start(target, control)
		clock.advance(3 * time.Second)
		Eventually(control.heard).WithTimeout(generous).Should(ConsistOf("loaded m1"))
		Expect(target.ordered()).To(ConsistOf("load m1"))
	})

	// A load dies halfway and its memory stays taken. It was lent to the next
	// load, and the engine was overcommitted.
	It("unloads what a dead load left before the decision counts as gone", func() {
		target := &fakeTarget{halfway: true}
		control := decided(map[string]coordpb.ReplicaState{"m1": toLoad})
		_, clock := start(target, control)
		clock.advance(3 * time.Second)
		Eventually(control.heard).WithTimeout(generous).Should(ContainElement("gone m1 unloaded"))
		Expect(target.ordered()[:2]).To(Equal([]string{"load m1", "unload m1"}))
	})

	It("reports what the target lost, and what was unloaded", func() {
		target := &fakeTarget{models: []agent.LoadedModel{held("m2")}}
		control := decided(map[string]coordpb.ReplicaState{"m1": ready, "m2": toUnload})
		_, clock := start(target, control)
		clock.advance(3 * time.Second)
		Eventually(control.heard).WithTimeout(generous).Should(ContainElements("gone m1 the target lost the model", "gone m2 unloaded"))
	})

	// An agent starts while control cannot be reached. It took what it could not
	// know for what nobody had decided, and unloaded everything.
	It("unloads nothing while it does not know what is decided", func() {
		target := &fakeTarget{models: []agent.LoadedModel{held("m1")}}
		control := decided(map[string]coordpb.ReplicaState{"m1": ready, "m2": toLoad})
		control.setStale(true)
		a, clock := start(target, control)
		clock.advance(3 * time.Second)
		before := target.looks()
		Eventually(target.looks).WithTimeout(generous).Should(BeNumerically(">", before+5))
		Expect(target.ordered()).To(BeEmpty())
		control.setStale(false)
		Eventually(control.heard).WithTimeout(generous).Should(ContainElement("loaded m2"))
		Expect(target.ordered()).To(Equal([]string{"load m2"}))
		Expect(a.Report().Loaded).To(HaveLen(2))
	})

	// A target does not answer. Its replicas may still be there, so that nothing
	// is reported as gone and nothing is ordered.
	It("reports nothing of a target that does not answer", func() {
		target := &fakeTarget{silent: true}
		control := decided(map[string]coordpb.ReplicaState{"m1": ready, "m2": toLoad})
		a, clock := start(target, control)
		clock.advance(3 * time.Second)
		Eventually(target.looks).WithTimeout(generous).Should(BeNumerically(">", 5))
		Expect(control.heard()).To(BeEmpty())
		Expect(target.ordered()).To(BeEmpty())
		Expect(a.Ready()).To(HaveOccurred())
		Expect(a.Report().TargetAlive).To(BeFalse())
	})
})

var _ = Describe("a target over HTTP", func() {
	// Some targets refuse an order with an old fencing number. That must reach
	// control as what it is, and not as a broken load.
	It("tells a fenced order, a full memory and a broken one apart", func() {
		answers := map[string]int{"fenced": http.StatusConflict, "full": http.StatusInsufficientStorage, "broken": http.StatusInternalServerError}
		kinds := map[string]fault.Kind{"fenced": fault.Fenced, "full": fault.NoCapacity, "broken": fault.TargetFailed}
		for word, status := range answers {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(`{"error":"` + word + `","highest":9}`))
			}))
			err := agent.NewHTTPTarget(server.URL).Load(context.Background(), agent.ModelOrder{Model: "m1", Fencing: 8})
			server.Close()
			Expect(fault.From(err).Kind).To(Equal(kinds[word]))
		}
	})

	// A target that is not there has not run the call; one that took it and
	// broke off may have.
	It("says not run only where no connection was made", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		call := &agent.Call{Attempt: "a", Path: "/x", Body: []byte("{}")}
		_, err := agent.NewHTTPTarget(server.URL).Call(context.Background(), call)
		Expect(fault.From(err).Ran).To(Equal(fault.RanUnknown))
		server.Close()
		_, err = agent.NewHTTPTarget(server.URL).Call(context.Background(), call)
		Expect(fault.From(err).Ran).To(Equal(fault.RanNo))
	})
})

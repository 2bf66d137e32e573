package steward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/platform"
	"cowsliptiller/platform/platformtest"
	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/steward"
	"cowsliptiller/server/view"
)

func TestSteward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "steward")
}

type source struct {
	snapshot *atomic.Pointer[view.Snapshot]
}

func sourceOf(s *view.Snapshot) source {
	out := source{&atomic.Pointer[view.Snapshot]{}}
	out.snapshot.Store(s)
	return out
}

func (s source) Current() *view.Snapshot  { return s.snapshot.Load() }
func (s source) Fresh(time.Time) bool     { return true }
func (s source) Changed() <-chan struct{} { return nil }
func (s source) Renewed() <-chan struct{} { return nil }

// engine is a stand-in target: it speaks the platform's calls of an agent.
type engine struct {
	mu        sync.Mutex
	id        string
	seq       uint64
	born      int64
	fencing   []uint64 // of the accepted orders
	models    map[string][]string
	draining  bool
	down      bool
	orders    []string
	elsewhere int // orders refused because they named another id
	warmUpMs  string
	backoff   string // Retry-After of the answer to each order; empty: it takes orders
	calls     int    // of all kinds
	runs      [][]any
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	e.calls++
	switch r.URL.Path {
	case "/health":
		w.Header().Set(platform.HeaderAnsweredBy, e.id)
		if e.warmUpMs != "" {
			w.Header().Set(platform.HeaderWarmUp, e.warmUpMs)
		}
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	}
}

func (e *engine) report(w io.Writer) {
	_ = platformtest.Report{Orders: e.seq, Born: e.born, Models: e.models, OnDisk: []string{"rare"}, Running: 2, Draining: e.draining, Runs: e.runs}.Write(w)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	o, err := platformtest.ReadOrder(r.Body)
	switch {
	case e.backoff != "":
		w.Header().Set(platform.HeaderRetryAfter, e.backoff)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.Header.Get(platform.HeaderExpectInstance) != e.id:
		e.elsewhere++
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case err != nil || o.ExpectedSequence != e.seq || o.Holder == "" || o.Fencing == 0:
		w.WriteHeader(http.StatusConflict)
		return
	}
	operation := "unload "
	if o.Load {
		operation = "load "
	}
	e.seq++
	e.fencing = append(e.fencing, o.Fencing)
	e.orders = append(e.orders, strings.TrimSuffix(operation+o.Model+"/"+o.Adapter, "/"))
	switch {
	case o.Adapter != "":
		e.models[o.Model] = append(e.models[o.Model], o.Adapter)
	case o.Load:
		e.models[o.Model] = nil
	default:
		delete(e.models, o.Model)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) change(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// boardStub takes reports.
type boardStub struct {
	rpc.Board
	mu     sync.Mutex
	newest *rpc.Standing
	dead   int // reports that say that the target does not answer
	use    []*rpc.ModelUse
	told   int      // reports that were answered with use
	ended  []string // models whose permits were given back
	// asked is called with each question for a permit, without the lock; nil: nothing.
	asked func(model string)
}

func (b *boardStub) Report(_ context.Context, r *rpc.StandingReport) (*rpc.StandingReportResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newest = r.Standing
	if r.Standing.Instance == "" {
		b.dead++
	}
	b.told++
	return &rpc.StandingReportResponse{Use: b.use, UseKnown: true, UseWhole: true}, nil
}

func (b *boardStub) Permit(_ context.Context, r *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	if r.Done {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ended = append(b.ended, r.Model)
		return &rpc.PermitResponse{}, nil
	}
	if b.asked != nil {
		b.asked(r.Model)
	}
	return &rpc.PermitResponse{Granted: true}, nil
}

// tell sets the demand and returns once the agent has been told of it.
func (b *boardStub) tell(use ...*rpc.ModelUse) {
	b.mu.Lock()
	b.use, b.told = use, 0
	b.mu.Unlock()
	Eventually(func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.told
	}).Should(BeNumerically(">", 1))
}

func (b *boardStub) givenBack() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ended)
}

func (b *boardStub) instance() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newest.GetInstance()
}

func start(e *engine) (*steward.Steward, *boardStub) {
	s, board := startWith(e, sourceOf(snapshot()))
	Eventually(board.instance).Should(Equal(e.id))
	return s, board
}

// snapshot is a view with a service whose targets run models.
func snapshot() *view.Snapshot {
	d := &coordpb.Deployment{Version: 1, Services: []*coordpb.DeploymentService{{Name: "s", HealthPath: "/health", WarmUpS: 3, WarmUpPerS: 2, Engine: &coordpb.DeploymentEngine{
		Slots: 8, WeightsMb: 210, AdapterPlaces: 4, LoadsPerSecond: 4,
		Models: []*coordpb.DeploymentModel{{Name: "m", WeightsMb: 100, AdapterMb: 1, LoadS: 6}, {Name: "rare", WeightsMb: 100, LoadS: 6, DiskS: 0.8}, {Name: "busy", WeightsMb: 100, LoadS: 6}},
	}}}}
	return &view.Snapshot{Deployment: d, Routes: deployment.NewIndex(d)}
}

func startWith(e *engine, source source) (*steward.Steward, *boardStub) {
	board := &boardStub{}
	return startAt(e, source, board, time.Now), board
}

// startAt starts an agent of a target that follows a board, with a clock.
func startAt(e *engine, source source, board rpc.Board, now func() time.Time) *steward.Steward {
	server := httptest.NewServer(e)
	DeferCleanup(server.Close)
	log := hclog.NewNullLogger()
	s := steward.New(steward.Config{
		Caller: &rpc.Caller{Host: "h", FailureDomain: "d"}, Source: source,
		Board: func() rpc.Board { return board }, Service: "s", Now: now, Internal: "127.0.0.1:1",
		Target: &platform.Target{Address: server.Listener.Addr().String(), Client: &http.Client{}},
		Events: events.New(log, time.Now), Log: log,
	})
	Expect(s.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { _ = s.Close() })
	return s
}

func ensure(s *steward.Steward, model, adapter string) (*rpc.EnsureResponse, error) {
	return s.Ensure(context.Background(), &rpc.EnsureRequest{Model: model, Adapter: adapter, WaitMs: 8000, Value: 1})
}

var _ = Describe("the agent beside a target", func() {
	It("has a model and its adapter loaded, and says so to all that wait", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil}}
		s, _ := start(e)
		resp, err := ensure(s, "m", "a1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Held).To(BeTrue())
		resp, err = ensure(s, "rare", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Held).To(BeTrue())
		Expect(e.orders).To(Equal([]string{"load m/a1", "load rare"}))
	})

	// A target crashed and came back under another id. Its agent went on naming the
	// old one: each order was refused as another target's, ten a second, and control
	// sent the fleet's requests to an id that nobody answered to.
	It("asks a target that was away for its id anew, and orders under it", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil}}
		s, board := start(e)
		e.change(func() { e.down = true })
		Eventually(s.Ready).ShouldNot(Succeed())
		e.change(func() { e.down, e.id, e.seq, e.models = false, "i-2", 0, map[string][]string{} })
		Eventually(board.instance).Should(Equal("i-2"))
		resp, err := ensure(s, "m", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Held).To(BeTrue())
		Expect(e.elsewhere).To(BeZero())
	})

	// Guards against late orders of an earlier start that a target under the same id still takes.
	It("orders under the start time of a target that keeps its id over a restart", func() {
		e := &engine{id: "i-1", born: 1000, models: map[string][]string{}}
		s, board := start(e)
		_, err := ensure(s, "m", "")
		Expect(err).NotTo(HaveOccurred())
		e.change(func() { e.down = true })
		Eventually(s.Ready).ShouldNot(Succeed())
		e.change(func() { e.down, e.born, e.seq, e.models = false, 2000, 0, map[string][]string{} })
		Eventually(board.instance).Should(Equal("i-1"))
		_, err = ensure(s, "m", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.fencing).To(Equal([]uint64{1000, 2000}))
	})

	// Guards against a burst of calls to a target that is slow after its start: hosts and the
	// leader must be told, and send times must have a pace.
	It("tells for how long its target warms up, and hands out send times", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil}, warmUpMs: "60000"}
		s, board := start(e)
		Eventually(func() uint32 {
			board.mu.Lock()
			defer board.mu.Unlock()
			return board.newest.GetWarmUpMs()
		}).Should(BeNumerically(">", 50_000))
		resp, err := ensure(s, "m", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.WarmUpMs).To(BeNumerically(">", 50_000))
		reserve := func(instance string) (*rpc.ReserveResponse, error) {
			return s.Reserve(context.Background(), &rpc.ReserveRequest{Instance: instance, Service: "s", MaxWaitMs: 5000})
		}
		var first *rpc.ReserveResponse
		Eventually(func() bool {
			first, err = reserve("i-1")
			Expect(err).NotTo(HaveOccurred())
			return first.Granted
		}).WithTimeout(5 * time.Second).Should(BeTrue())
		second, err := reserve("i-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(second.WaitMs).To(BeNumerically(">", first.WaitMs))
		_, err = reserve("i-2")
		Expect(rpc.FromTwirp(err)).To(MatchError(ContainSubstring("not_here")))
	})

	// Guards against a burst from hosts that have not learned of their target's rate limit.
	It("hands out send times at the rate limit that its target announces, and reports it", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil}}
		s, board := start(e)
		reserve := func(limit *rpc.RateObservation) *rpc.ReserveResponse {
			resp, err := s.Reserve(context.Background(), &rpc.ReserveRequest{Instance: "i-1", Service: "s", MaxWaitMs: 5000, Warm: true, RateLimit: limit})
			Expect(err).NotTo(HaveOccurred())
			return resp
		}
		Eventually(board.instance).Should(Equal("i-1"))
		Expect(reserve(nil).Granted).To(BeTrue())
		limit := &rpc.RateObservation{Limited: true, PerSecond: 0.5}
		Eventually(func() bool { return reserve(limit).Granted }).WithTimeout(5 * time.Second).Should(BeTrue())
		later := reserve(nil)
		Expect(later.Granted).To(BeFalse())
		Expect(later.RateLimit.GetPerSecond()).To(Equal(0.5))
		Eventually(func() float64 {
			board.mu.Lock()
			defer board.mu.Unlock()
			return board.newest.GetRateLimit().GetPerSecond()
		}).Should(Equal(0.5))
	})

	// Guards against hosts that see a target as free while it processes long prompts of other hosts.
	It("reports the prompt tokens per second of its target", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil}, runs: [][]any{{"old", 9000, 0, 0}}}
		_, board := start(e)
		perSecond := func() uint32 {
			board.mu.Lock()
			defer board.mu.Unlock()
			return board.newest.GetPromptTokensPerS()
		}
		Expect(perSecond()).To(BeZero())
		e.change(func() { e.runs = [][]any{{"old", 9000, 0, 0}, {"new", 4014, 2, 0}, {"bad"}} })
		Eventually(perSecond).WithTimeout(5 * time.Second).Should(Equal(uint32(4000)))
		Eventually(perSecond).WithTimeout(5 * time.Second).Should(BeZero())
	})

	// Guards against orders to a target whose failure domain is about to be switched off, and
	// against taking a target for warm that returns cold.
	It("gives no orders while its failure domain is evacuated", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil}}
		source := sourceOf(snapshot())
		s, board := startWith(e, source)
		Eventually(board.instance).Should(Equal("i-1"))
		evacuate := func(out bool) {
			next := snapshot()
			next.Evacuations = map[string]*coordpb.Evacuation{"d": {FailureDomain: "d", Evacuated: out}}
			source.snapshot.Store(next)
		}
		evacuate(true)
		Eventually(func() error {
			_, err := ensure(s, "m", "a1")
			return rpc.FromTwirp(err)
		}).Should(MatchError(ContainSubstring("evacuated")))
		given := len(e.orders)
		board.tell(&rpc.ModelUse{Model: "busy", ValuePerS: 50})
		Expect(e.orders).To(HaveLen(given))
		e.change(func() { e.warmUpMs = "60000" })
		evacuate(false)
		Eventually(func() uint32 {
			resp, err := ensure(s, "m", "")
			if err != nil {
				return 0
			}
			return resp.WarmUpMs
		}).Should(BeNumerically(">", 50_000))
	})

	// The same, but so quickly that no report failed in between.
	It("asks for the id anew when an order reaches another target", func() {
		e := &engine{id: "i-1", seq: 3, models: map[string][]string{"m": nil}}
		s, _ := start(e)
		e.change(func() { e.id = "i-2" })
		resp, err := ensure(s, "m", "a1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Held).To(BeTrue())
		Expect(e.elsewhere).To(BeNumerically("<=", 1))
	})

	// Callers of a busy model are refused for want of one more copy of it, while the
	// weight store serves nothing: demand moved on between an agent's question for a
	// permit and the answer, the agent loads nothing, and control counts its load as
	// running for twenty seconds.
	It("gives back a permit that it will not use", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil, "rare": nil}}
		_, board := start(e)
		asked := make(chan string, 1)
		board.asked = func(model string) {
			board.tell()
			asked <- model
		}
		board.tell(&rpc.ModelUse{Model: "busy", ValuePerS: 50, Copies: 1, Pressed: 1})
		Eventually(asked).Should(Receive(Equal("busy")))
		Eventually(board.givenBack).Should(Equal([]string{"busy"}))
		Expect(e.orders).To(BeEmpty())
	})

	// All hosts have lost power; the targets have not. An agent starts before any
	// deployment is known and told control that its target does not answer: control took
	// it off the board for seconds, and callers of what it held were refused.
	It("says nothing of its target before it has looked at it", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil}}
		late := sourceOf(nil)
		_, board := startWith(e, late)
		Consistently(board.instance, 600*time.Millisecond).Should(BeEmpty())
		late.snapshot.Store(snapshot())
		Eventually(board.instance).Should(Equal("i-1"))
		Expect(board.dead).To(BeZero())
	})

	// A target is about to leave. Requests that wait for a model there must look
	// elsewhere at once.
	It("fails what waits when the target is leaving, and takes nothing more", func() {
		e := &engine{id: "i-1", models: map[string][]string{"m": nil, "rare": nil}}
		s, _ := start(e)
		e.change(func() { e.draining = true })
		Eventually(func() error {
			_, err := ensure(s, "m", "a1")
			return err
		}).Should(MatchError(ContainSubstring("leaving")))
	})
})

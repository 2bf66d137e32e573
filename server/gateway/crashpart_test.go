package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

const (
	sharedPart = "shared"
	badPart    = "crashes"
	// longBody is the body of a stream that ends only with its target.
	longBody = "long"
)

// partControl is a control process with the replicated state, which entry hosts follow. Its clock is
// ahead of the hosts' by as much as the test says.
type partControl struct {
	*wire
	mu      sync.Mutex
	state   *state.State
	ahead   time.Duration
	changed chan struct{} // closed at the next change
}

func newPartControl(w *wire) *partControl {
	c := &partControl{wire: w, state: state.New(), changed: make(chan struct{})}
	c.commit(&coordpb.Command{Change: &coordpb.Command_AdoptDeployment{AdoptDeployment: &coordpb.AdoptDeployment{Deployment: deploymentOf(), Source: []byte("source")}}})
	return c
}

func (c *partControl) commit(command *coordpb.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	command.NowUnixMs = c.nowLocked().UnixMilli()
	c.state.Apply(command)
	close(c.changed)
	c.changed = make(chan struct{})
}

// nowLocked is the time of the clock. The caller holds mu.
func (c *partControl) nowLocked() time.Time { return time.Now().Add(c.ahead) }

func (c *partControl) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nowLocked()
}

// advance sets the clock forward.
func (c *partControl) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead += d
}

func (c *partControl) Strike(_ context.Context, r *rpc.StrikeRequest) (*rpc.StrikeResponse, error) {
	report := &coordpb.RecordCrashes{}
	proto.Merge(report, r.Crashes)
	c.commit(&coordpb.Command{Actor: r.Caller.Host, Change: &coordpb.Command_RecordCrashes{RecordCrashes: report}})
	return &rpc.StrikeResponse{}, nil
}

func (c *partControl) Sync(ctx context.Context, r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	timeout := time.After(time.Duration(r.WaitMs) * time.Millisecond)
	for {
		c.mu.Lock()
		v, changed := c.state.View(r.Since), c.changed
		c.mu.Unlock()
		answer := &rpc.SyncResponse{View: v, FreshnessMs: 60_000}
		if v.Revision > r.Since {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *partControl) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision()
}

// partFleet is several entry hosts that follow one control process, and targets that crash when they
// begin to write an answer on the bad part.
type partFleet struct {
	*fleet
	control   *partControl
	addresses []string
	followers []*view.Follower

	mu       sync.Mutex
	standby  []*rpc.Standing // of targets that are not in the table yet
	ended    []string        // instances
	arrivals []time.Time     // of requests with the bad part, by the clock of control
	began    chan struct{}   // receives one value for each long stream
	release  chan struct{}   // closed when the long streams end
}

const liveTargets = 4

func newPartFleet(hosts, targets int) *partFleet {
	f := &partFleet{fleet: newFleet("models"), began: make(chan struct{}, 100), release: make(chan struct{})}
	f.control = newPartControl(f.wire)
	for i := range targets {
		instance := fmt.Sprintf("i-%d", i+1)
		f.addMortalTarget(instance, "models", f.handle(instance))
	}
	f.wire.mu.Lock()
	f.standby, f.wire.standings = f.wire.standings, nil
	f.wire.mu.Unlock()
	f.replaceTargets()
	for i := range hosts {
		f.addHost(fmt.Sprintf("host-%d", i+1))
	}
	return f
}

// addHost starts an entry host that follows the control process by itself.
func (f *partFleet) addHost(name string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c := f.config
	c.Listen = l.Addr().String()
	Expect(l.Close()).To(Succeed())
	c.Caller = &rpc.Caller{Host: name, Incarnation: "1", FailureDomain: "d"}
	follower := view.NewFollower(view.FollowerOptions{
		Caller: c.Caller, Addresses: []string{"control"}, Dial: func(string) rpc.Control { return f.control },
	})
	c.Source, c.Control = follower, f.control
	c.Metrics = gateway.NewMetrics(prometheus.NewRegistry())
	g := gateway.New(c)
	internal := http.NewServeMux()
	g.Mount(internal)
	server := httptest.NewServer(internal)
	DeferCleanup(server.Close)
	f.control.commit(&coordpb.Command{Change: &coordpb.Command_RegisterHost{RegisterHost: &coordpb.RegisterHost{
		Host: name, Incarnation: "1", FailureDomain: "d", Role: "entry", Address: server.Listener.Addr().String(),
	}}})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = follower.Run(ctx) }()
	Expect(g.Start(ctx)).To(Succeed())
	DeferCleanup(func() { _ = g.Close() })
	Eventually(g.Ready, 10*time.Second).Should(Succeed())
	f.addresses, f.followers = append(f.addresses, c.Listen), append(f.followers, follower)
}

// handle is the handler of a target.
func (f *partFleet) handle(instance string) mortalHandler {
	return func(w http.ResponseWriter, r *http.Request, body string, crash func()) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get(platform.HeaderLastEvent), &last)
		switch {
		case strings.Contains(r.Header.Get(platform.HeaderPrefix), badPart+":"):
			f.recordCrash(instance)
			stream(w, 1, 0, false)
			w.(http.Flusher).Flush()
			crash()
		case body == longBody && last == 0:
			stream(w, 1, 1, false)
			f.mu.Lock()
			release := f.release
			f.mu.Unlock()
			f.began <- struct{}{}
			select {
			case <-release:
				stream(w, 2, 5, false)
			case <-r.Context().Done():
			}
		default:
			stream(w, last+1, last+5, false)
		}
	}
}

func (f *partFleet) recordCrash(instance string) {
	now := f.control.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, now)
	f.ended = append(f.ended, instance)
}

// badArrivals is how many requests with the bad part reached targets.
func (f *partFleet) badArrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// lateArrivals is how many requests with the bad part reached targets later than 3 s after the fifth.
func (f *partFleet) lateArrivals() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.arrivals) < 5 {
		return 0
	}
	for _, at := range f.arrivals {
		if at.After(f.arrivals[4].Add(3 * time.Second)) {
			n++
		}
	}
	return n
}

// sendSound sends a sound request with other parts at each host. Each must be served at its first attempt.
func (f *partFleet) sendSound(round int) {
	GinkgoHelper()
	for n := range f.addresses {
		id := fmt.Sprintf("sound-%d-%d", round, n)
		got := send(f.request(n, id, id, fmt.Sprintf("context-%d", round)))
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(f.attempts(id)).To(Equal(1))
	}
}

// endLongStreams lets the long streams that are running go on to their end.
func (f *partFleet) endLongStreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.release)
	f.release = make(chan struct{})
}

// attempts is how often a request reached a target.
func (f *partFleet) attempts(id string) (n int) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	for _, list := range f.ran {
		for _, r := range list {
			if r.Header.Get(platform.HeaderRequestID) == id {
				n++
			}
		}
	}
	return n
}

// replaceTargets removes targets that have ended from the table, and adds others in their place.
func (f *partFleet) replaceTargets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wire.mu.Lock()
	defer f.wire.mu.Unlock()
	live := slices.DeleteFunc(slices.Clone(f.wire.standings), func(s *rpc.Standing) bool { return slices.Contains(f.ended, s.Instance) })
	n := min(liveTargets-len(live), len(f.standby))
	live, f.standby = append(live, f.standby[:n]...), f.standby[n:]
	f.wire.standings = live
	f.wire.version++
}

// settle returns once all hosts have the present table and view.
func (f *partFleet) settle() {
	GinkgoHelper()
	f.replaceTargets()
	f.wire.awaitPolls()
	for range f.addresses {
		f.wire.awaitPolls()
	}
	for _, follower := range f.followers {
		Eventually(func() uint64 { return follower.Current().Revision }, 10*time.Second).Should(Equal(f.control.revision()))
	}
}

// request returns a request of a caller at one of the hosts, unlike any other. The parts are those
// that others may share.
func (f *partFleet) request(n int, id, body string, parts ...string) *http.Request {
	r := withBody(f.fleet.request("POST", "/stream/", platform.HeaderModel, "m"), id, body)
	r.URL.Host = f.addresses[n%len(f.addresses)]
	prefix := ""
	for _, p := range append([]string{sharedPart}, parts...) {
		prefix += p + ":100,"
	}
	r.Header.Set(platform.HeaderPrefix, prefix+"own-"+id+":10")
	return r
}

var _ = Describe("a part of prompts that crashes each target that begins to write an answer on it", func() {
	// Guards against sending requests with the part, no two alike, to target after target.
	It("reaches at most three targets after the fifth crash, and requests that share other parts are served", func() {
		const hosts, rounds = 3, 16
		f := newPartFleet(hosts, 2*rounds+liveTargets)
		allowed := 5
		for i := range rounds {
			long := sendLater(f.request(i+1, fmt.Sprintf("long-%d", i), longBody, fmt.Sprintf("context-%d", i)))
			Eventually(f.began, 10*time.Second).Should(Receive())
			send(f.request(i, fmt.Sprintf("bad-%d", i), fmt.Sprintf("bad body %d", i), badPart, fmt.Sprintf("context-%d", i)))
			f.endLongStreams()
			Expect((<-long).status).To(Equal(http.StatusOK))
			f.control.advance(time.Second)
			f.settle()
			if f.badArrivals() >= 5 && allowed == 5 {
				allowed = f.badArrivals() + 3
			}
			f.sendSound(i)
		}
		Expect(f.badArrivals()).To(BeNumerically("<=", allowed))
		last := send(f.request(rounds, "bad-last", "last", badPart))
		Expect(last.body).To(ContainSubstring(`"kind":"quarantined"`))
	})

	// Guards against hosts that send such requests at the same moment, before they know of each other's crashes.
	It("reaches at most three targets later than 3 s after the fifth crash while its requests come at all hosts at once", func() {
		const hosts, rounds = 3, 10
		f := newPartFleet(hosts, rounds*liveTargets+liveTargets)
		for i := range rounds {
			var replies []<-chan reply
			for n := range hosts {
				id := fmt.Sprintf("bad-%d-%d", i, n)
				replies = append(replies, sendLater(f.request(n, id, id, fmt.Sprintf("context-%d", i), badPart)))
			}
			for _, r := range replies {
				<-r
			}
			f.control.advance(time.Second)
			f.settle()
			f.sendSound(i)
		}
		Expect(f.badArrivals()).To(BeNumerically(">=", 3))
		Expect(f.lateArrivals()).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("a crash under requests that share parts of their prompts", func() {
	// Guards against a log that doesn't tell which requests had begun and what they share.
	DescribeTable("is logged with the attempt's own events and the shared parts", func(prefix, logged string) {
		f := newFleet("models")
		f.addMortalTarget("i-1", "models", crashMidStream(2))
		f.addMortalTarget("i-2", "models", crashMidStream(2))
		f.wire.awaitPolls()
		r := withBody(f.request("POST", "/stream/", platform.HeaderModel, "m"), "r-1", "long")
		r.Header.Set(platform.HeaderPrefix, prefix)
		Expect(send(r).status).To(Equal(http.StatusOK))
		Eventually(f.lines.String).Should(MatchRegexp(`attempt_failed.*"attempt":1.*"events":2.*"parts":"` + logged + `".*"target_ended":true`))
		Expect(f.lines.String()).To(MatchRegexp(`attempt_failed.*"attempt":2.*"events":2`))
	},
		Entry("of some", "first-part:100,2nd:50,own:10", "first-pa,2nd"),
		Entry("of many", "1st:100,2nd:50,3rd:50,4th:50,5th:50,own:10", "1st,2nd,3rd,4th"),
		Entry("of none", "own:10", ""),
	)
})

// setParts sets the parts with strikes that control has committed.
func (s *source) setParts(rows request.PartRows) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current
	next.Revision++
	next.Parts = rows
	s.current = &next
	close(s.changed)
	s.changed = make(chan struct{})
}

// convicted returns the row of a part that is refused.
func convicted(part string) request.PartRows {
	rows := suspected(part)
	row := rows[request.PartOf(part)]
	row.Until = time.Now().Add(time.Minute)
	return request.PartRows{request.PartOf(part): row}
}

// suspected returns the row of a part with one strike.
func suspected(part string) request.PartRows {
	return request.PartRows{request.PartOf(part): {
		Crashes: []request.PartCrash{{Crash: 1, At: time.Now(), Counted: true}}, Expires: time.Now().Add(time.Hour),
	}}
}

// clearedParts returns the parts that were reported as sound.
func (w *wire) clearedParts() (parts []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.crashes {
		parts = append(parts, m.ClearedParts...)
	}
	return parts
}

// accusedParts returns the parts of the requests that were reported to have been running when a target
// crashed.
func (w *wire) accusedParts() (parts []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.crashes {
		for _, c := range m.Crashes {
			for _, s := range c.Suspects {
				parts = append(parts, s.Parts...)
			}
		}
	}
	return parts
}

// withParts sets the parts of a request's prompt, followed by its own.
func withParts(r *http.Request, parts ...string) *http.Request {
	prefix := ""
	for _, p := range parts {
		prefix += p + ":100,"
	}
	r.Header.Set(platform.HeaderPrefix, prefix+"own:10")
	return r
}

// crashAfter ends the target after writing a text.
func crashAfter(text string) mortalHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ string, crash func()) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		crash()
	}
}

// writeEvents writes a stream and breaks off after it.
func writeEvents(events int) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { stream(w, 1, events, true) }
}

var _ = Describe("a request with a part that crashed targets", func() {
	a := uint64(request.PartOf("a"))

	// Guards against charging a caller for what is refused, and against refusing by the last part.
	It("is refused before its rate is charged, unless the part is its own", func() {
		f := newFleet("plain", answer(200, "fine"))
		f.source.setParts(convicted("a"))
		for range 5 {
			r := withParts(f.request("POST", "/order/", "Authorization", "Bearer "+limitedKey, platform.HeaderTokens, "1,8"), "b", "a")
			got := send(r)
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
			Expect(got.body).To(ContainSubstring(`"kind":"quarantined"`))
			Expect(got.body).To(ContainSubstring(`"ran":"no"`))
			Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(f.arrivals()).To(BeZero())
		Eventually(f.lines.String).Should(MatchRegexp(`request_ended.*"kind":"quarantined".*"parts":"a"`))
		own := f.request("POST", "/order/")
		own.Header.Set(platform.HeaderPrefix, "b:100,a:10")
		Expect(send(own).body).To(Equal("fine"))
	})

	// Guards against sending requests that waited while the part was refused.
	It("is refused after a wait", func() {
		f := newFleet("plain", answer(200, "fine"))
		f.wire.reserve = func(*rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
			f.source.setParts(convicted("a"))
			return &rpc.ReserveResponse{Granted: true}, nil
		}
		r := withParts(withBody(f.request("POST", "/order/"), "r-1", "x"), "a")
		x := request.FingerprintOf("w", host, "/order/", []byte("x"))
		f.source.setStrikes(&coordpb.Strikes{
			Workspace: "w", Fingerprint: x[:], ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
			Shared: []*coordpb.SharedStrike{{Crash: "1"}, {Crash: "2"}},
		})
		Expect(send(r).body).To(ContainSubstring(`"kind":"quarantined"`))
		Expect(f.arrivals()).To(BeZero())
	})

	// Guards against sending requests that waited for a connection while the part was refused.
	It("is refused right before it is sent", func() {
		f := newFleet("plain")
		expired := f.gateway.ExpiryOf([]platform.PromptPart{{ID: "a"}, {ID: "own"}})
		Expect(expired()).To(BeFalse())
		f.source.setParts(convicted("a"))
		Expect(expired()).To(BeTrue())
	})

	// Guards against a stream that goes on at another target with a part that is refused by then.
	It("is not resumed, neither by its caller nor in the same answer", func() {
		f := newFleet("models")
		for _, instance := range []string{"i-1", "i-2"} {
			f.addMortalTarget(instance, "models", func(w http.ResponseWriter, _ *http.Request, _ string, crash func()) {
				stream(w, 1, 2, false)
				f.source.setParts(convicted("a"))
				crash()
			})
		}
		f.wire.awaitPolls()
		Expect(send(withParts(f.request("POST", "/stream/", platform.HeaderModel, "m"), "a")).err).To(HaveOccurred())
		again := withParts(f.request("POST", "/stream/", platform.HeaderModel, "m", platform.HeaderLastEvent, "2", platform.HeaderResumes, "r-1"), "a")
		again.Header.Set(platform.HeaderRequestID, "r-2")
		Expect(send(again).body).To(ContainSubstring(`"kind":"quarantined"`))
		Expect(f.arrivals()).To(Equal(1))
	})

	// Guards against holding a crash against requests that were writing their answers.
	DescribeTable("is held responsible for a crash only before its attempt's first event", func(text string, want int) {
		f := newFleet("models")
		f.addMortalTarget("i-1", "models", crashAfter(text))
		f.wire.awaitPolls()
		send(withParts(f.request("POST", "/once/", platform.HeaderModel, "m"), "a", "b"))
		Eventually(f.wire.suspects).Should(Equal(1))
		Expect(f.wire.accusedParts()).To(HaveLen(want))
	},
		Entry("no byte", "", 2),
		Entry("a comment", ": waits\n\n", 2),
		Entry("a part of an event", "id: 1\nda", 2),
		Entry("an event", "id: 1\ndata: x\n\n", 0),
	)

	// Guards against refusing a part on which targets write answers.
	DescribeTable("clears the part with an answer on it", func(handle targetHandler, path string, want int) {
		f := newFleet("models", handle)
		f.source.setParts(suspected("a"))
		send(withParts(f.request("POST", path, platform.HeaderModel, "m"), "a", "b"))
		if want == 0 {
			Consistently(f.wire.clearedParts, 100*time.Millisecond).Should(BeEmpty())
			return
		}
		Eventually(f.wire.clearedParts).Should(Equal([]uint64{a}))
	},
		Entry("to its end", answer(200, "data: x\n\n"), "/once/", 1),
		Entry("of four events and more", writeEvents(request.PartClearingEvents+1), "/once/", 1),
		Entry("of three events", writeEvents(request.PartClearingEvents-1), "/once/", 0),
		Entry("that is a failure", answer(500, ""), "/once/", 0),
	)

	// Guards against strikes of other hosts that are committed after a target has run the part.
	It("has its part cleared by a host that has seen a target write an answer on it", func() {
		f := newFleet("models", answer(200, "data: x\n\n"))
		Expect(send(withParts(f.request("POST", "/once/", platform.HeaderModel, "m"), "a")).status).To(Equal(200))
		Expect(f.wire.clearedParts()).To(BeEmpty())
		rows := suspected("a")
		f.source.setParts(rows)
		Eventually(f.wire.clearedParts).Should(Equal([]uint64{a}))
		f.source.setParts(rows) // the report is under way
		Consistently(f.wire.clearedParts, 100*time.Millisecond).Should(HaveLen(1))
		f.source.setParts(suspected("a"))
		Eventually(f.wire.clearedParts).Should(HaveLen(2))
	})
})

package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/wire"
	"cowsliptiller/standin/engine"
)

// slow makes a stand-in's stream last for seconds.
var slow = engine.Faults{SlowFactor: 200}

// A pause that a sound host may make, and when it begins after a request is sent.
const (
	pauseAfter = 200 * time.Millisecond
	longPause  = 1400 * time.Millisecond
)

// engineOf is a target of the tests' own: it holds m1, and answers calls with
// the handler.
func (f *fleet) engineOf(target string, calls http.HandlerFunc) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/status", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"models": []any{map[string]any{"name": "m1", "version": "1", "bytes": 14 << 30, "fencing": 1}}})
	})
	mux.HandleFunc("POST /v1/completions", calls)
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	f.control.decide("m1", target)
	f.addAgent(target, server.URL)
	Eventually(func() bool { return f.control.ready("m1") }).WithTimeout(generous).Should(BeTrue())
	return server
}

// sendAll sends requests at the same time and returns the replies in order.
func (f *fleet) sendAll(asks ...ask) []reply {
	replies := make([]reply, len(asks))
	done := make(chan int)
	for i, a := range asks {
		go func() {
			defer GinkgoRecover()
			replies[i] = f.send(a)
			done <- i
		}()
	}
	for range asks {
		Eventually(done).WithTimeout(2 * generous).Should(Receive())
	}
	return replies
}

var _ = Describe("the path under failure", func() {
	// A shop opens and its first requests for a model come in at three entry
	// hosts at once. Each host asked for a load of its own, and the store was
	// asked three times for the same weights.
	It("loads a model once for a burst of first requests at many entry hosts", func() {
		f := newFleet(3, "engine-1")
		f.control.loads["m2"] = "engine-1"
		var asks []ask
		for i := range 12 {
			asks = append(asks, ask{path: "/v1/completions", body: fmt.Sprintf(`{"model":"m2","prompt":"%d"}`, i), entry: i % 3})
		}
		for i, got := range f.sendAll(asks...) {
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(got.body).To(ContainSubstring("digest:" + digestOf(asks[i].body)))
		}
		Expect(f.control.decided).To(Equal(1))
	})

	// Something between an entry host and an agent loses track of their
	// connection in the middle of a stream. The caller saw a stream that stood
	// still until its deadline.
	It("ends a stream whose connection has gone silent", func() {
		f := newFleet(1, "engine-1")
		between := newProxy(f.control.Current().AgentByTarget["engine-1"].Address)
		f.setAgent("engine-1", between.address())
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(slow)
		ctx, cancel := context.WithTimeout(context.Background(), generous)
		defer cancel()
		res, err := f.open(ctx, ask{path: "/v1/completions", body: `{"model":"m1","prompt":"x","max_tokens":500,"stream":true}`})
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		_, err = io.ReadFull(res.Body, make([]byte, 16))
		Expect(err).NotTo(HaveOccurred())
		between.silence()
		rest, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(ContainSubstring("event: error"))
	})

	// Guards against ending the answers of an agent whose host pauses for a second or so.
	DescribeTable("keeps an answer whose agent pauses", func(body, whole string) {
		f := newFleet(1, "engine-1")
		between := newProxy(f.control.Current().AgentByTarget["engine-1"].Address)
		f.setAgent("engine-1", between.address())
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(slow)
		ctx, cancel := context.WithTimeout(context.Background(), generous)
		defer cancel()
		time.AfterFunc(pauseAfter, func() { between.pause(longPause) })
		res, err := f.open(ctx, ask{path: "/v1/completions", body: body})
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		got, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(string(got)).To(ContainSubstring(whole))
		Expect(f.targets["engine-1"].Executions()).To(HaveLen(1))
	},
		Entry("and that is a stream", `{"model":"m1","prompt":"x","max_tokens":10,"stream":true}`, "[DONE]"),
		Entry("and that has not begun", `{"model":"m1","prompt":"x","max_tokens":10}`, "digest:"),
	)

	// The engine stops in the middle of an answer and keeps its connection open.
	It("ends an answer whose target has gone silent", func() {
		f := newFleet(1)
		f.silence = 100 * time.Millisecond
		f.engineOf("engine-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: {}\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		got := f.send(ask{path: "/v1/completions", body: streamBody})
		Expect(got.body).To(ContainSubstring(`event: error`))
		Expect(got.body).To(ContainSubstring(`"kind":"stream_broken"`))
	})

	// A driver waits at the gate for an engine that takes the request and gives
	// nothing back. Whether it ran is not known, and the driver is told in time.
	It("answers by the deadline when a target never does", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(engine.Faults{ResponseDelayMS: time.Hour.Milliseconds()})
		got := f.send(ask{path: "/v1/completions", body: wholeBody, header: map[string]string{"Cowslip-Class": "hasty"}})
		Expect(got.status).To(Equal(http.StatusGatewayTimeout), got.body)
		Expect(got.refusal().Ran).To(Equal("unknown"))
	})

	// An engine hangs: its connections stay open, it gives nothing back, and it
	// does not tell its status either. The brief that runs there waited for its
	// whole deadline, a minute, while another engine could have written it.
	It("runs again elsewhere what a hung target had taken", func() {
		f := newFleet(1, "engine-1", "engine-2")
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(engine.Faults{ResponseDelayMS: time.Hour.Milliseconds()})
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- f.send(ask{path: "/v1/completions", body: wholeBody, header: map[string]string{"Cowslip-Class": "brief"}})
		}()
		Eventually(f.targets["engine-1"].Executions).WithTimeout(generous).Should(HaveLen(1))
		f.targets["engine-1"].SetFaults(engine.Faults{NeverRespond: true})
		f.control.decide("m1", "engine-2")
		var got reply
		Eventually(answered).WithTimeout(generous).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(f.targets["engine-2"].Executions()).To(HaveLen(1))
	})

	// A model cannot be had in time: no target was asked.
	It("refuses as not run by the deadline when no target holds the model", func() {
		f := newFleet(1, "engine-1")
		got := f.send(ask{path: "/v1/completions", body: `{"model":"m2"}`, header: map[string]string{"Cowslip-Class": "hasty"}})
		Expect(got.refusal().Ran).To(Equal("no"), got.body)
		Expect(f.targets["engine-1"].Executions()).To(BeEmpty())
	})

	// A customer leaves the counter. Without cancelling, the engine goes on
	// generating for nobody.
	It("cancels at the target what nobody waits for", func() {
		f := newFleet(1)
		begun, ended := make(chan struct{}), make(chan struct{})
		f.engineOf("engine-1", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(begun)
			<-r.Context().Done()
			close(ended)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			if res, err := f.open(ctx, ask{path: "/v1/completions", body: wholeBody}); err == nil {
				_ = res.Body.Close()
			}
		}()
		Eventually(begun).WithTimeout(generous).Should(BeClosed())
		cancel()
		Eventually(ended).WithTimeout(generous).Should(BeClosed())
	})

	// A key is withdrawn while its requests wait for a model to load. The model
	// comes, and the requests ran all the same.
	It("does not start what waits with a key that is withdrawn", func() {
		f := newFleet(1, "engine-1")
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- f.send(ask{path: "/v1/completions", body: `{"model":"m2","prompt":"x"}`, key: driversKey})
		}()
		Eventually(f.control.waiting).WithTimeout(generous).Should(Equal(1))
		f.control.withdrawKey(driversKey)
		var got reply
		Eventually(answered).WithTimeout(generous).Should(Receive(&got))
		Expect(got.refusal().Kind).To(Equal("unauthenticated"), got.body)
		Expect(got.refusal().Ran).To(Equal("no"))
		f.load("m2", "engine-1")
		Expect(f.targets["engine-1"].Executions()).To(BeEmpty())
	})

	// One request crashes each engine that runs it, and its caller sends it again
	// and again: engine after engine went down, and took its neighbours along.
	It("refuses a request that crashed its targets, and not others", func() {
		f := newFleet(2, "engine-1", "engine-2")
		for _, target := range f.targets {
			target.SetFaults(engine.Faults{CrashMarker: "poison"})
		}
		f.load("m1", "engine-1")
		f.control.decide("m1", "engine-2")
		f.control.loads["m1"] = "engine-1"
		bad := ask{path: "/v1/completions", body: `{"model":"m1","prompt":"poison"}`}
		for range 4 {
			got := f.send(bad)
			Expect(got.status).NotTo(Equal(http.StatusOK))
		}
		ran := len(f.targets["engine-1"].Executions()) + len(f.targets["engine-2"].Executions())
		bad.entry = 1
		Expect(f.send(bad).refusal().Kind).To(Equal("quarantined"))
		Expect(ran).To(Equal(2))
		Expect(len(f.targets["engine-1"].Executions()) + len(f.targets["engine-2"].Executions())).To(Equal(2))
		Expect(f.send(ask{path: "/v1/completions", body: wholeBody}).status).To(Equal(http.StatusOK))
	})

	// The neighbours of a request that crashes its engine were blamed with it.
	It("runs the neighbours of a crash again, and blames only the one that crashed", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		f.control.loads["m1"] = "engine-1"
		f.targets["engine-1"].SetFaults(engine.Faults{CrashMarker: "poison", ResponseDelayMS: 300})
		neighbour := ask{path: "/v1/completions", body: wholeBody}
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- f.send(neighbour)
		}()
		Eventually(f.targets["engine-1"].Executions).WithTimeout(generous).Should(HaveLen(1))
		f.send(ask{path: "/v1/completions", body: `{"model":"m1","prompt":"poison"}`})
		var got reply
		Eventually(answered).WithTimeout(generous).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		for _, strike := range f.control.struck() {
			Expect(f.control.struckBody(f.targets["engine-1"], strike)).To(ContainSubstring("poison"))
		}
		Expect(f.control.struck()).NotTo(BeEmpty())
	})

	// Two replies cross: an agent answers with the frames of another attempt.
	It("takes no answer to another attempt", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		mux := http.NewServeMux()
		mux.HandleFunc("POST "+wire.RunPath, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			out := wire.NewWriter("another", w, http.NewResponseController(w).Flush)
			_ = out.WriteAccepted(&rpc.Accepted{Status: 200, ContentType: "application/json"})
			_, _ = out.Write([]byte(`{"for":"another"}`))
			_ = out.End(&rpc.End{})
		})
		server := httptest.NewUnstartedServer(nil)
		server.Config = process.InternalServer(f.secret, mux)
		server.Start()
		DeferCleanup(server.Close)
		f.setAgent("engine-1", server.Listener.Addr().String())
		got := f.send(ask{path: "/v1/completions", body: wholeBody, header: map[string]string{"Cowslip-Deadline-Ms": "500"}})
		Expect(got.status).To(BeNumerically(">=", 500), got.body)
		Expect(got.body).NotTo(ContainSubstring(`"for":`))
	})

	// A summary too long to be held breaks off. Its caller must not take the
	// part for the whole.
	It("aborts a long answer that breaks", func() {
		f := newFleet(1)
		f.engineOf("engine-1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			panic(http.ErrAbortHandler)
		})
		got := f.send(ask{path: "/v1/completions", body: wholeBody})
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.broken).To(HaveOccurred())
	})

	It("refuses what is over its workspace's rate, and says when to come back", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		f.control.grantNothing()
		got := f.send(ask{path: "/v1/completions", body: wholeBody})
		Expect(got.status).To(Equal(http.StatusTooManyRequests), got.body)
		Expect(got.refusal().Ran).To(Equal("no"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.targets["engine-1"].Executions()).To(BeEmpty())
	})

	// A target is reclaimed. Its agent refuses what is new and what waits, which
	// goes to another target; what runs is finished.
	It("drains an agent without cutting or losing a request", func() {
		f := newFleet(1, "engine-1", "engine-2")
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(engine.Faults{ResponseDelayMS: 200})
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- f.send(ask{path: "/v1/completions", body: streamBody})
		}()
		Eventually(f.targets["engine-1"].Executions).WithTimeout(generous).Should(HaveLen(1))
		drained := make(chan error, 1)
		go func() { drained <- f.agents["engine-1"].Drain(context.Background()) }()
		Eventually(f.agents["engine-1"].Ready).WithTimeout(generous).Should(HaveOccurred())
		f.control.decide("m1", "engine-2")
		elsewhere := f.send(ask{path: "/v1/completions", body: wholeBody})
		Expect(elsewhere.status).To(Equal(http.StatusOK), elsewhere.body)
		Expect(f.targets["engine-2"].Executions()).To(HaveLen(1))
		var got reply
		Eventually(answered).WithTimeout(generous).Should(Receive(&got))
		Expect(streamText(got.body)).To(HaveSuffix("digest:" + digestOf(streamBody)))
		Eventually(drained).WithTimeout(generous).Should(Receive(Succeed()))
	})
})

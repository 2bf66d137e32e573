package agent_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/agent"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
	"cowsliptiller/server/wire"
)

// heldTarget answers a call with "held" in its attempt's name when it is let go,
// and others at once.
type heldTarget struct {
	fakeTarget
	letGo   chan struct{}
	adapter chan struct{} // closed when adapters may be loaded
	calls   []string
}

func (t *heldTarget) LoadAdapter(ctx context.Context, o agent.AdapterOrder) error {
	t.mu.Lock()
	t.orders = append(t.orders, "load adapter "+o.Adapter)
	t.mu.Unlock()
	select {
	case <-t.adapter:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *heldTarget) UnloadAdapter(context.Context, agent.AdapterOrder) error { return nil }

func (t *heldTarget) Call(ctx context.Context, c *agent.Call) (*agent.Reply, error) {
	t.mu.Lock()
	t.calls = append(t.calls, c.Attempt)
	t.mu.Unlock()
	if strings.Contains(c.Attempt, "held") {
		select {
		case <-t.letGo:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &agent.Reply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
}

func (t *heldTarget) called() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.calls)
}

// line is an agent whose target runs one request at once.
type line struct {
	agent   *agent.Agent
	control *fakeControl
	target  *heldTarget
	server  *httptest.Server
	letGo   func() // lets held calls go
}

func newLine() *line {
	l := &line{
		control: decided(map[string]coordpb.ReplicaState{"m1": ready}),
		target:  &heldTarget{letGo: make(chan struct{}), adapter: make(chan struct{})},
	}
	l.target.models = []agent.LoadedModel{held("m1")}
	spec := l.control.snapshot.Configuration.Targets["e1"]
	spec.Concurrency = 1
	l.control.snapshot.Configuration.Targets["e1"] = spec
	a, clock := start(l.target, l.control)
	l.agent = a
	clock.advance(3 * time.Second)
	Eventually(func() int { return len(a.Report().Loaded) }).WithTimeout(generous).Should(Equal(1))
	mux := http.NewServeMux()
	a.Mount(mux)
	l.server = httptest.NewServer(mux)
	DeferCleanup(l.server.Close)
	l.letGo = sync.OnceFunc(func() { close(l.target.letGo) })
	DeferCleanup(l.letGo)
	return l
}

// send returns the last frame of the answer, once it has come.
func (l *line) send(attempt, body string) <-chan *rpc.Frame {
	return l.sendTo("", attempt, body)
}

func (l *line) sendTo(adapter, attempt, body string) <-chan *rpc.Frame {
	return l.sendBody(adapter, attempt, strings.NewReader(body))
}

func (l *line) sendBody(adapter, attempt string, body io.Reader) <-chan *rpc.Frame {
	last := make(chan *rpc.Frame, 1)
	go func() {
		defer GinkgoRecover()
		req, err := http.NewRequest(http.MethodPost, l.server.URL+wire.RunPath, body)
		Expect(err).NotTo(HaveOccurred())
		head := &wire.Request{Attempt: attempt, ID: attempt, Workspace: "labs", KeyID: "key-of-" + attempt, Class: "interactive",
			Model: "m1", Adapter: adapter, Path: "/v1/completions", Timeout: time.Minute, Tokens: 10, Weight: 1}
		head.WriteHeader(req.Header)
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		reader := wire.NewReader(attempt, res.Body)
		for {
			frame, err := reader.Next()
			Expect(err).NotTo(HaveOccurred())
			if frame.GetEnd() != nil || frame.GetFailure() != nil {
				last <- frame
				return
			}
		}
	}()
	return last
}

func (l *line) running() int { return int(l.agent.Report().Running) }
func (l *line) queued() int  { return int(l.agent.Report().Queued) }

var _ = Describe("requests that wait for a target", func() {
	// A key is withdrawn while a request of it waits behind a long one. Its
	// caller heard nothing until the long one had ended, and the request held a
	// waiting place until then: the key was looked at again only at its turn.
	It("are refused when their key is withdrawn, not at their turn", func() {
		l := newLine()
		long := l.send("held", "{}")
		Eventually(l.running).WithTimeout(generous).Should(Equal(1))
		refused, kept := l.send("b", "{}"), l.send("c", "{}")
		Eventually(l.queued).WithTimeout(generous).Should(Equal(2))
		l.control.show(func(s *view.Snapshot) {
			s.Keys = map[view.Digest]*coordpb.Key{{1}: {KeyId: "key-of-b", Workspace: "labs", Withdrawn: true}}
		})
		var last *rpc.Frame
		Eventually(refused).WithTimeout(generous).Should(Receive(&last))
		told := wire.ErrorFromFailure(last.GetFailure())
		Expect(fault.From(told).Kind).To(Equal(fault.Unauthenticated))
		Expect(fault.From(told).Ran).To(Equal(fault.RanNo))
		Expect(l.queued()).To(Equal(1))
		l.letGo()
		Eventually(long).WithTimeout(generous).Should(Receive(HaveField("GetEnd()", Not(BeNil()))))
		Eventually(kept).WithTimeout(generous).Should(Receive(HaveField("GetEnd()", Not(BeNil()))))
		Expect(l.target.called()).To(Equal([]string{"held", "c"}))
	})

	// A request waits for its adapter while its key is withdrawn. It had been
	// checked against the view before, came into the queue after the waiting ones
	// had been refused, and waited there behind the long one.
	It("are refused when they come into the queue after their key was withdrawn", func() {
		l := newLine()
		l.control.show(func(s *view.Snapshot) {
			configuration := *s.Configuration
			s.Configuration = &configuration
			configuration.Adapters = map[string]config.AdapterSpec{"x1": {Name: "x1", Model: "m1", Bytes: 1 << 20}}
		})
		l.send("held", "{}")
		Eventually(l.running).WithTimeout(generous).Should(Equal(1))
		late := l.sendTo("x1", "late", "{}")
		waiting := l.send("waiting", "{}")
		Eventually(l.queued).WithTimeout(generous).Should(Equal(1))
		Eventually(l.target.ordered).WithTimeout(generous).Should(ContainElement("load adapter x1"))
		l.control.show(func(s *view.Snapshot) {
			s.Keys = map[view.Digest]*coordpb.Key{
				{1}: {KeyId: "key-of-late", Workspace: "labs", Withdrawn: true},
				{2}: {KeyId: "key-of-waiting", Workspace: "labs", Withdrawn: true},
			}
		})
		Eventually(waiting).WithTimeout(generous).Should(Receive())
		close(l.target.adapter)
		var last *rpc.Frame
		Eventually(late).WithTimeout(generous).Should(Receive(&last))
		Expect(fault.From(wire.ErrorFromFailure(last.GetFailure())).Kind).To(Equal(fault.Unauthenticated))
		Expect(l.target.called()).To(Equal([]string{"held"}))
	})

	// A session's instruction text is in the engine's cache. A request with
	// another text went first all the same and drove it out, for the queue was
	// told no request's prefix.
	It("start first when the text that they begin with was just used", func() {
		l := newLine()
		text := func(words string) string {
			return fmt.Sprintf(`{"model":"m1","prompt":"%s"}`, strings.Repeat(words, 1<<10))
		}
		Eventually(l.send("first", text("roads"))).WithTimeout(generous).Should(Receive())
		l.send("held", text("tides"))
		Eventually(l.running).WithTimeout(generous).Should(Equal(1))
		cold := l.send("cold", text("ports"))
		Eventually(l.queued).WithTimeout(generous).Should(Equal(1))
		warm := l.send("warm", text("roads"))
		Eventually(l.queued).WithTimeout(generous).Should(Equal(2))
		l.letGo()
		Eventually(warm).WithTimeout(generous).Should(Receive())
		Eventually(cold).WithTimeout(generous).Should(Receive())
		Expect(l.target.called()).To(Equal([]string{"first", "held", "warm", "cold"}))
	})
})

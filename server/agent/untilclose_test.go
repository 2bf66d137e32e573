package agent_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/server/agent"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
	"cowsliptiller/server/wire"
)

// closingTarget answers with a body that ends with its connection.
type closingTarget struct {
	fakeTarget
	body  io.Reader
	atEnd func() // called when the body has ended
}

func (t *closingTarget) Call(context.Context, *agent.Call) (*agent.Reply, error) {
	body := io.MultiReader(t.body, atEOF(t.atEnd))
	return &agent.Reply{Status: http.StatusOK, ContentType: "text/event-stream", Framing: framing.UntilClose, Body: io.NopCloser(body)}, nil
}

// Strike implements rpc.Control.
func (c *fakeControl) Strike(_ context.Context, r *rpc.StrikeRequest) (*rpc.StrikeResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = append(c.confirmed, "strike "+r.Strike.Attempt)
	return &rpc.StrikeResponse{Strikes: 1}, nil
}

// atEOF is an empty reader that calls a function.
type atEOF func()

func (f atEOF) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// xs is an endless reader.
type xs struct{}

func (xs) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// answerOf returns the last frame of an agent's answer to a call of the target.
func answerOf(t *closingTarget, control *fakeControl) *rpc.Frame {
	GinkgoHelper()
	t.models = []agent.LoadedModel{held("m1")}
	a, clock := start(t, control)
	clock.advance(3 * time.Second)
	Eventually(func() int { return len(a.Report().Loaded) }).WithTimeout(generous).Should(Equal(1))
	mux := http.NewServeMux()
	a.Mount(mux)
	l := &line{agent: a, server: httptest.NewServer(mux)}
	DeferCleanup(l.server.Close)
	var last *rpc.Frame
	Eventually(l.send("a", "{}")).WithTimeout(generous).Should(Receive(&last))
	return last
}

var _ = Describe("an answer that ends with its connection, at an agent", func() {
	const events = "data: x\n\n"

	// Guards against a truncated answer that looks complete, also where the target's end was announced, and
	// against a strike for an announced end.
	DescribeTable("is complete unless its target has ended", func(text string, leaving, silent, complete bool) {
		control := decided(map[string]coordpb.ReplicaState{"m1": ready})
		target := &closingTarget{body: strings.NewReader(text)}
		target.atEnd = func() {
			if leaving {
				control.show(func(s *view.Snapshot) {
					s.AgentByTarget = map[string]*coordpb.Host{"e1": {Host: "h1", Target: "e1", Leaving: true}}
				})
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			target.silent = silent
		}
		last := answerOf(target, control)
		if complete {
			Expect(last.GetEnd()).NotTo(BeNil())
			return
		}
		Expect(fault.Is(wire.ErrorFromFailure(last.GetFailure()), fault.StreamBroken)).To(BeTrue())
		Expect(slices.Contains(control.heard(), "strike a")).To(Equal(silent && !leaving))
	},
		Entry("and goes on", events, false, false, true),
		Entry("and has ended", events, false, true, false),
		Entry("and leaves, and goes on", events, true, false, true),
		Entry("and has ended as announced", events, true, true, false),
		Entry("inside an event, and goes on", events+"data", false, false, false),
		Entry("inside an event, and has ended as announced", events+"data", true, true, false),
	)

	// Guards against an event or a body without end.
	It("ends as failed at its bound", func() {
		last := answerOf(&closingTarget{body: io.MultiReader(strings.NewReader(events+"data: "), xs{})}, decided(map[string]coordpb.ReplicaState{"m1": ready}))
		Expect(fault.Is(wire.ErrorFromFailure(last.GetFailure()), fault.TooLarge)).To(BeTrue())
	})
})

package entry_test

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/process"
	"cowsliptiller/server/view"
	"cowsliptiller/server/wire"
	"cowsliptiller/standin/engine"
)

func confirmation(entry int, key string) ask {
	a := ask{path: "/v1/services/portal/manifests/confirm", body: `{"manifest":17}`, entry: entry}
	if key != "" {
		a.header = map[string]string{"Idempotency-Key": key}
	}
	return a
}

// counted returns a counter's value for a label value.
func counted(registry *prometheus.Registry, name, label string) (n float64) {
	GinkgoHelper()
	families, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			if m.GetLabel()[0].GetValue() == label {
				n += m.GetCounter().GetValue()
			}
		}
	}
	return n
}

var _ = Describe("a call that may not be repeated", func() {
	// A driver's portal loses the answer and sends the confirmation again; the
	// balancer gives it to another entry host, which knows nothing of the first.
	It("gives a repeat at any entry host the recorded outcome", func() {
		f := newFleet(2, "portal-1")
		first := f.send(confirmation(0, "once-17"))
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		second := f.send(confirmation(1, "once-17"))
		Expect(second.status).To(Equal(http.StatusOK), second.body)
		Expect(second.body).To(Equal(first.body))
		Expect(second.header.Get("Content-Type")).To(Equal(first.header.Get("Content-Type")))
		Expect(f.targets["portal-1"].Executions()).To(HaveLen(1))

		other := confirmation(0, "once-17")
		other.body = `{"manifest":18}`
		Expect(f.send(other).refusal().Kind).To(Equal("key_reused"))
	})

	// The portal's replica reads the confirmation, runs it, and closes the
	// connection. net/http takes a kept connection that closes without an answer
	// for dead and sends a request that looks idempotent to it again, by itself:
	// the manifest is confirmed twice.
	It("runs once at a target that closes after reading", func() {
		f := newFleet(2, "portal-1")
		warm := f.send(confirmation(0, "warm"))
		Expect(warm.status).To(Equal(http.StatusOK), warm.body)
		f.targets["portal-1"].SetFaults(engine.Faults{CloseAfterRead: true})

		first := f.send(confirmation(0, "once-17"))
		Expect(first.refusal().Ran).To(Equal("unknown"), first.body)
		Expect(first.refusal().Repeatable).To(BeFalse())
		for entry := range f.entries {
			again := f.send(confirmation(entry, "once-17"))
			Expect(again.refusal().Kind).To(Equal("already_claimed"))
			Expect(again.refusal().Ran).To(Equal("unknown"))
		}
		without := f.send(confirmation(0, ""))
		Expect(without.refusal().Ran).To(Equal("unknown"))
		Expect(f.targets["portal-1"].Executions()).To(HaveLen(3)) // warm, once-17, and the one without a key
	})

	// The same on the way from the entry host: the agent's process dies after it
	// has read the request, over HTTP/1 and over HTTP/2.
	DescribeTable("is handed over once to an agent that closes after reading",
		func(http2 bool) {
			f := newFleet(0)
			if !http2 {
				f.client = &http.Client{}
			}
			f.addEntry()
			var posts atomic.Int32
			mux := http.NewServeMux()
			mux.HandleFunc("GET "+wire.ProbePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
			mux.HandleFunc("POST "+wire.RunPath, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				posts.Add(1)
				panic(http.ErrAbortHandler)
			})
			server := httptest.NewUnstartedServer(mux)
			if http2 {
				server.Config = process.InternalServer(f.secret, mux)
			}
			server.Start()
			DeferCleanup(server.Close)
			f.setAgent("portal-1", server.Listener.Addr().String())
			got := f.send(confirmation(0, "once-17"))
			Expect(got.refusal().Ran).To(Equal("unknown"), got.body)
			Expect(posts.Load()).To(BeEquivalentTo(1))
		},
		Entry("HTTP/1", false),
		Entry("HTTP/2", true),
	)

	// A host between an entry host and an agent forgets their connection. The
	// next confirmation would go into it, and its driver be told "unknown".
	It("does not go first on a connection that has gone silent", func() {
		f := newFleet(1, "portal-1")
		between := newProxy(f.control.Current().AgentByTarget["portal-1"].Address)
		f.setAgent("portal-1", between.address())
		Expect(f.send(confirmation(0, "warm")).status).To(Equal(http.StatusOK))
		between.silence()
		got := f.send(confirmation(0, "once-17"))
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(f.targets["portal-1"].Executions()).To(HaveLen(2))
	})

	// One of the portal's targets is leaving. Its agent's refusal proves that
	// nothing ran, so the call goes on elsewhere under the same claim.
	It("goes on elsewhere when an agent proves that it did not run", func() {
		f := newFleet(1, "portal-1", "portal-2")
		Expect(f.agents["portal-1"].Drain(context.Background())).To(Succeed())
		for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
			got := f.send(confirmation(0, key))
			Expect(got.status).To(Equal(http.StatusOK), got.body)
		}
		Expect(f.targets["portal-1"].Executions()).To(BeEmpty())
		Expect(f.targets["portal-2"].Executions()).To(HaveLen(6))
	})

	It("frees its key when it did not run anywhere", func() {
		f := newFleet(1, "portal-1")
		Expect(f.agents["portal-1"].Drain(context.Background())).To(Succeed())
		got := f.send(confirmation(0, "once-17"))
		Expect(got.refusal().Ran).To(Equal("no"), got.body)
		Expect(f.control.claimState("labs/once-17")).To(Equal(coordpb.ClaimState_CLAIM_STATE_NOT_RUN))
		f.addTarget("portal-2")
		Expect(f.send(confirmation(0, "once-17")).status).To(Equal(http.StatusOK))
	})

	// Control has no quorum. Whether the claim was taken is not known, but that
	// the call was not handed over is.
	It("is refused as not run while control cannot commit", func() {
		f := newFleet(1, "portal-1")
		f.control.fail(fault.New(fault.NoQuorum, "no quorum"))
		a := confirmation(0, "once-17")
		a.header["Cowslip-Deadline-Ms"] = "200"
		got := f.send(a)
		Expect(got.refusal().Kind).To(Equal("no_quorum"))
		Expect(got.refusal().Ran).To(Equal("no"))
		Expect(f.targets["portal-1"].Executions()).To(BeEmpty())
		f.control.fail(nil)
		Expect(f.send(confirmation(0, "once-17")).status).To(Equal(http.StatusOK))
	})

	// Control answers nothing while an outcome is recorded, and the driver, who
	// has his confirmation as good as in hand, waits beyond his deadline for it.
	It("answers by its deadline though its outcome is not recorded yet", func() {
		f := newFleet(1, "portal-1")
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		f.control.mu.Lock()
		f.control.holdSettle = hold
		f.control.mu.Unlock()
		a := confirmation(0, "once-17")
		a.header["Cowslip-Deadline-Ms"] = "300"
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		res, err := f.open(ctx, a)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res).To(HaveHTTPStatus(http.StatusOK))
	})

	// Guards against running a call whose claim is granted after its caller has been refused.
	It("does not run when its claim is granted after its deadline", func() {
		f := newFleet(2, "portal-1")
		hold := make(chan struct{})
		f.control.mu.Lock()
		f.control.holdClaim = hold
		f.control.mu.Unlock()
		a := confirmation(0, "once-17")
		a.header["Cowslip-Deadline-Ms"] = "200"
		late := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			late <- f.send(a)
		}()
		Eventually(func() coordpb.ClaimState { return f.control.claimState("labs/once-17") }).Should(Equal(coordpb.ClaimState_CLAIM_STATE_OPEN))
		Consistently(late, 250*time.Millisecond).ShouldNot(Receive())
		f.control.mu.Lock()
		f.control.holdClaim = nil
		f.control.mu.Unlock()
		close(hold)
		var got reply
		Eventually(late).Should(Receive(&got))
		Expect(got.refusal().Ran).To(Equal("no"), got.body)
		Expect(f.targets["portal-1"].Executions()).To(BeEmpty())
		Eventually(func() coordpb.ClaimState { return f.control.claimState("labs/once-17") }).Should(Equal(coordpb.ClaimState_CLAIM_STATE_NOT_RUN))
		Expect(f.send(confirmation(1, "once-17")).status).To(Equal(http.StatusOK))
		Expect(f.targets["portal-1"].Executions()).To(HaveLen(1))
	})

	// Guards against running a call again at another host while control is lost after the first run.
	It("is not run by another host whose claim control does not answer", func() {
		f := newFleet(2, "portal-1")
		Expect(f.send(confirmation(0, "once-17")).status).To(Equal(http.StatusOK))
		f.control.fail(fault.New(fault.NoQuorum, "no quorum"))
		again := confirmation(1, "once-17")
		again.header["Cowslip-Deadline-Ms"] = "300"
		got := f.send(again)
		Expect(got.refusal().Kind).To(Equal("no_quorum"))
		Expect(f.targets["portal-1"].Executions()).To(HaveLen(1))
		f.control.fail(nil)
		Expect(f.send(confirmation(1, "once-17")).status).To(Equal(http.StatusOK))
		Expect(f.targets["portal-1"].Executions()).To(HaveLen(1))
	})

	// Guards against claims that control does not answer and no count shows.
	It("is counted with the requests for its claim if control does not answer", func() {
		f := newFleet(0, "portal-1")
		registry := prometheus.NewRegistry()
		f.registry = registry
		f.addEntry()
		f.control.fail(fault.New(fault.NoQuorum, "no quorum"))
		a := confirmation(0, "once-17")
		a.header["Cowslip-Deadline-Ms"] = "300"
		Expect(f.send(a).refusal().Kind).To(Equal("no_quorum"))
		Expect(counted(registry, "cowslip_entry_claims_total", "no_quorum")).To(BeEquivalentTo(1))
		Expect(counted(registry, "cowslip_entry_claim_questions_total", "no_quorum")).To(BeNumerically(">", 1))
		Expect(counted(registry, "cowslip_entry_claims_total", "granted")).To(BeZero())
	})

	// A transport repeats a request below our code: the same attempt arrives at
	// the agent twice.
	It("is not run again when its attempt arrives twice", func() {
		f := newFleet(0, "portal-1")
		Eventually(f.agents["portal-1"].Ready, "30s").Should(Succeed())
		digest := sha256.Sum256([]byte(labsKey))
		key := f.control.Current().Keys[view.Digest(digest)]
		head := &wire.Request{Attempt: "a-1", ID: "a", Workspace: "labs", KeyID: key.KeyId, Class: "confirmation",
			Service: "portal", Path: "/manifests/confirm", Call: "once-17", Timeout: 10 * time.Second}
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.control.Current().AgentByTarget["portal-1"].Address+wire.RunPath, http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			head.WriteHeader(req.Header)
			res, err := f.client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, res.Body)
			Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
		}
		Expect(f.targets["portal-1"].Executions()).To(HaveLen(1))
	})
})

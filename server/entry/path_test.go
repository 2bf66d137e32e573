package entry_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/standin/engine"
)

const (
	wholeBody  = `{"model":"m1","prompt":"notes for the gate","max_tokens":5}`
	streamBody = `{"model":"m1","prompt":"notes for the gate","max_tokens":5,"stream":true}`
)

var _ = Describe("the path from a caller to a target and back", func() {
	It("answers whole, streamed and plain calls", func() {
		f := newFleet(1, "engine-1", "portal-1")
		f.load("m1", "engine-1")

		whole := f.send(ask{path: "/v1/completions", body: wholeBody})
		Expect(whole.status).To(Equal(http.StatusOK), whole.body)
		Expect(whole.body).To(ContainSubstring("digest:" + digestOf(wholeBody)))
		Expect(whole.header.Get("Content-Type")).To(Equal("application/json"))
		Expect(whole.header.Get("Request-Id")).NotTo(BeEmpty())

		streamed := f.send(ask{path: "/v1/chat/completions", body: streamBody})
		Expect(streamed.status).To(Equal(http.StatusOK))
		Expect(streamed.header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(streamText(streamed.body)).To(HaveSuffix("digest:" + digestOf(streamBody)))
		Expect(streamed.body).To(HaveSuffix("data: [DONE]\n\n"))

		adapted := f.send(ask{path: "/v1/completions", body: `{"model":"a1","prompt":"x"}`})
		Expect(adapted.status).To(Equal(http.StatusOK), adapted.body)

		plain := f.send(ask{path: "/v1/services/portal/bookings", body: `any body`})
		Expect(plain.status).To(Equal(http.StatusOK), plain.body)
		Expect(plain.body).To(ContainSubstring(digestOf(`any body`)))
	})

	It("lists the models of the key's workspace", func() {
		f := newFleet(1)
		req, err := http.NewRequest(http.MethodGet, "http://"+f.entries[0].Address().String()+"/v1/models", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+driversKey)
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res).To(HaveHTTPBody(MatchJSON(`{"object":"list","data":[{"id":"m2","object":"model"}]}`)))
	})

	// A workspace's key reaches a model engine, whose logs others read. The
	// caller's header was passed on with the rest of the request.
	It("shows a target no key", func() {
		f := newFleet(1, "engine-1", "portal-1")
		f.load("m1", "engine-1")
		header := map[string]string{"Cookie": labsKey, "X-Api-Key": labsKey, "Idempotency-Key": "once"}
		Expect(f.send(ask{path: "/v1/completions", body: wholeBody, header: header}).status).To(Equal(http.StatusOK))
		Expect(f.send(ask{path: "/v1/services/portal/manifests/confirm", body: "{}", header: header}).status).To(Equal(http.StatusOK))
		for _, target := range f.targets {
			for _, execution := range target.Executions() {
				for name, values := range execution.Header {
					Expect(name).NotTo(BeElementOf("Authorization", "Idempotency-Key", "Cookie"))
					Expect(values).NotTo(ContainElement(ContainSubstring(labsKey)))
				}
			}
		}
	})

	DescribeTable("refuses what it must, and says that it did not run",
		func(a ask, status int, kind string) {
			f := newFleet(1, "engine-1")
			f.load("m1", "engine-1")
			got := f.send(a)
			Expect(got.status).To(Equal(status), got.body)
			Expect(got.refusal().Kind).To(Equal(kind))
			Expect(got.refusal().Ran).To(Equal("no"))
			Expect(got.refusal().RequestID).To(Equal(got.header.Get("Request-Id")))
			Expect(f.targets["engine-1"].Executions()).To(BeEmpty())
		},
		Entry("an unknown key", ask{path: "/v1/completions", body: wholeBody, key: "guessed"}, 401, "unauthenticated"),
		Entry("a model of others", ask{path: "/v1/completions", body: wholeBody, key: driversKey}, 404, "not_found"),
		Entry("an unknown model", ask{path: "/v1/completions", body: `{"model":"m9"}`}, 404, "not_found"),
		Entry("a body that is no JSON", ask{path: "/v1/completions", body: `{"model":`}, 400, "invalid_request"),
		Entry("an unknown class", ask{path: "/v1/completions", body: wholeBody, header: map[string]string{"Cowslip-Class": "x"}}, 400, "invalid_request"),
		Entry("a malformed deadline", ask{path: "/v1/completions", body: wholeBody, header: map[string]string{"Cowslip-Deadline-Ms": "-1"}}, 400, "invalid_request"),
		Entry("a body over the limit", ask{path: "/v1/completions", body: string(make([]byte, 2<<20))}, 413, "too_large"),
		Entry("a call that the service does not have", ask{path: "/v1/services/portal/admin/load", body: "{}"}, 404, "not_found"),
		Entry("a service of others", ask{path: "/v1/services/portal/bookings", body: "{}", key: driversKey}, 404, "not_found"),
	)

	// An operator withdraws a key; its holder goes on calling. A host that has
	// lost touch with control cannot know of it, and must not guess.
	It("refuses a withdrawn key, and everyone once the view is stale", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		f.control.withdrawKey(driversKey)
		Expect(f.send(ask{path: "/v1/completions", body: `{"model":"m2"}`, key: driversKey}).refusal().Kind).To(Equal("unauthenticated"))
		f.control.mu.Lock()
		f.control.stale = true
		f.control.mu.Unlock()
		got := f.send(ask{path: "/v1/completions", body: wholeBody})
		Expect(got.refusal().Kind).To(Equal("stale"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// A target dies in the middle of a stream. The caller saw a stream that
	// simply stopped, and took half a suggestion for the whole.
	It("ends a broken stream with an error event", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(engine.Faults{TruncateResponse: true})
		got := f.send(ask{path: "/v1/completions", body: streamBody})
		Expect(got.broken).NotTo(HaveOccurred())
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
		Expect(got.body).To(ContainSubstring("event: error\ndata: {\"kind\":\"stream_broken\""))
	})

	It("refuses a whole answer that broke while it was held", func() {
		f := newFleet(1, "portal-1")
		f.targets["portal-1"].SetFaults(engine.Faults{TruncateResponse: true})
		got := f.send(ask{path: "/v1/services/portal/bookings", body: "{}"})
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
		Expect(got.refusal().Ran).To(Equal("unknown"))
	})

	It("loads a model for the first request that needs it", func() {
		f := newFleet(1, "engine-1")
		f.control.loads["m2"] = "engine-1"
		got := f.send(ask{path: "/v1/completions", body: `{"model":"m2","prompt":"x"}`})
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(f.control.decided).To(Equal(1))
	})

	It("drains without cutting a request", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(engine.Faults{ResponseDelayMS: 100})
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- f.send(ask{path: "/v1/completions", body: streamBody})
		}()
		Eventually(f.targets["engine-1"].Executions).WithTimeout(generous).Should(HaveLen(1))
		drained := make(chan error, 1)
		go func() { drained <- f.entries[0].Drain(context.Background()) }()
		Eventually(f.entries[0].Ready).WithTimeout(generous).Should(HaveOccurred())
		var got reply
		Eventually(answered).WithTimeout(generous).Should(Receive(&got))
		Expect(streamText(got.body)).To(HaveSuffix("digest:" + digestOf(streamBody)))
		Eventually(drained).WithTimeout(generous).Should(Receive(Succeed()))
	})
})

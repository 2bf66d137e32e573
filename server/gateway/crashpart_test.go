package gateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

var _ = Describe("a crash under requests that share parts of their prompts", func() {
	// Guards against a log that doesn't tell which requests had begun and what they share.
	It("is logged with the attempt's own events and the shared parts", func() {
		f := newFleet("models")
		f.addMortalTarget("i-1", "models", crashMidStream(2))
		f.addMortalTarget("i-2", "models", crashMidStream(2))
		f.wire.awaitPolls()
		r := withBody(f.request("POST", "/stream/", platform.HeaderModel, "m"), "r-1", "long")
		r.Header.Set(platform.HeaderPrefix, "first-part:100,2nd:50,3rd:50,4th:50,5th:50,own:10")
		Expect(send(r).status).To(Equal(http.StatusOK))
		Eventually(f.lines.String).Should(MatchRegexp(`attempt_failed.*"attempt":1.*"events":2.*"parts":"first-pa,2nd,3rd,4th".*"target_ended":true`))
		Expect(f.lines.String()).To(MatchRegexp(`attempt_failed.*"attempt":2.*"events":2`))
	})
})

package process_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/process"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

var _ = Describe("the proof of identity between processes", func() {
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	ours := process.NewSecret([]byte("the fleet's secret"), clock)

	signed := func(s *process.Secret, path string) *http.Request {
		r := httptest.NewRequest(http.MethodPost, path, nil)
		s.Sign(r)
		return r
	}

	// A process of another fleet, or an eavesdropper that replays a request, calls an
	// agent. If its requests were accepted, anybody could load models.
	DescribeTable("is rejected",
		func(request func() *http.Request) { Expect(ours.Verify(request())).To(BeFalse()) },
		Entry("without a proof", func() *http.Request { return httptest.NewRequest(http.MethodPost, "/a", nil) }),
		Entry("under another secret", func() *http.Request {
			return signed(process.NewSecret([]byte("another fleet's secret"), clock), "/a")
		}),
		Entry("for another path", func() *http.Request {
			r := signed(ours, "/a")
			r.URL.Path = "/b"
			return r
		}),
		Entry("when it has expired", func() *http.Request {
			return signed(process.NewSecret([]byte("the fleet's secret"), func() time.Time { return now.Add(-3 * time.Minute) }), "/a")
		}),
	)

	It("is accepted from a process that has the secret", func() {
		Expect(ours.Verify(signed(ours, "/a"))).To(BeTrue())
	})

	It("needs a secret that only its owner can read and that is long enough", func() {
		path := filepath.Join(GinkgoT().TempDir(), "secret")
		Expect(os.WriteFile(path, []byte("0123456789abcdef"), 0o644)).To(Succeed())
		_, err := process.ReadSecret(path)
		Expect(err).To(MatchError(ContainSubstring("open to others")))
		Expect(os.Chmod(path, 0o600)).To(Succeed())
		_, err = process.ReadSecret(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(path, []byte("short"), 0o600)).To(Succeed())
		_, err = process.ReadSecret(path)
		Expect(err).To(MatchError(ContainSubstring("at least 16")))
	})
})

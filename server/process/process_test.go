package process_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/process"
)

// roundTripper is a function as an http.RoundTripper.
type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

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

	// Guards against a data race in net/http, which sends a request again while the stream of the first attempt reads its body.
	It("is added to a request that cannot be sent again", func() {
		var sent *http.Request
		next := roundTripper(func(r *http.Request) (*http.Response, error) {
			sent = r
			return httptest.NewRecorder().Result(), nil
		})
		r, err := http.NewRequest(http.MethodPost, "http://h/a", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		_, err = process.SigningTransport(ours, next).RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(ours.Verify(sent)).To(BeTrue())
		Expect(sent.GetBody).To(BeNil())
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

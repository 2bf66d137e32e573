package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

const badBody = "bad"

// addMortalTarget adds a target whose process can end: crash closes its listener and all of its
// connections.
func (f *fleet) addMortalTarget(instance, service string, handle func(w http.ResponseWriter, body string, crash func())) {
	var server *httptest.Server
	f.addTarget(instance, service, nil)
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.ran[instance] = append(f.ran[instance], r)
		f.mu.Unlock()
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderStamp, "stamp-of-"+instance)
		handle(w, string(body), func() {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		})
	}))
	DeferCleanup(server.Close)
	f.wire.mu.Lock()
	defer f.wire.mu.Unlock()
	f.wire.standings[len(f.wire.standings)-1].Address = server.Listener.Addr().(*net.TCPAddr).String()
}

// crashOnBadBody ends the target when it runs the bad request.
func crashOnBadBody(ended *atomic.Int32) func(w http.ResponseWriter, body string, crash func()) {
	return func(w http.ResponseWriter, body string, crash func()) {
		if body == badBody {
			ended.Add(1)
			crash()
			return
		}
		_, _ = io.WriteString(w, "fine")
	}
}

// withBody sets a request's body and id.
func withBody(r *http.Request, id, body string) *http.Request {
	r.Header.Set(platform.HeaderRequestID, id)
	r.Body = io.NopCloser(strings.NewReader(body))
	r.ContentLength = int64(len(body))
	return r
}

var _ = Describe("a request that ends each target that runs it", func() {
	// Guards against sending it to target after target while its caller retries it.
	It("ends three targets at most before it is refused", func() {
		var ended atomic.Int32
		f := newFleet("plain")
		for i := range 10 {
			f.addMortalTarget(fmt.Sprintf("i-%d", i+1), "plain", crashOnBadBody(&ended))
		}
		f.wire.awaitPolls()
		var last reply
		for retry := range 10 {
			last = send(withBody(f.request("POST", "/order/"), fmt.Sprintf("bad-%d", retry), badBody))
		}
		Expect(ended.Load()).To(BeNumerically("<=", 3))
		Expect(last.status).To(Equal(http.StatusServiceUnavailable))
		Expect(last.header.Get("Retry-After")).NotTo(BeEmpty())
		Eventually(func() string {
			return send(withBody(f.request("POST", "/order/"), "good", "good")).body
		}).Should(Equal("fine"))
	})
})

package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an answer cut at any byte", func() {
	const head, body = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: application/json\r\n", `{"a":[1,2,3]}`

	// Guards against a cut answer that reaches its caller as complete, or as one that did not run.
	DescribeTable("fails as one that may have run", func(answer string) {
		var sent atomic.Int64 // bytes that the target sends
		f := newFleet(1)
		f.engineOf("engine-1", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, answer[:sent.Load()])
			_ = conn.Close()
		})
		call := ask{path: "/v1/completions", body: `{"model":"m1"}`, header: map[string]string{"Cowslip-Class": "confirmation"}}
		for n := range len(answer) {
			sent.Store(int64(n))
			got := f.send(call)
			if got.status == http.StatusOK {
				Expect(got.broken).To(HaveOccurred(), "cut at byte %d: %s", n, got.body)
			} else {
				Expect(got.refusal().Ran).To(Equal("unknown"), "cut at byte %d: %d %s", n, got.status, got.body)
			}
			sent.Store(int64(len(answer)))
			got = f.send(call)
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal(body))
		}
	},
		Entry("with a length", head+"Content-Length: 13\r\n\r\n"+body),
		Entry("in chunks and trailers", head+"Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"+body[:4]+"\r\n9\r\n"+body[4:]+"\r\n0\r\nA: b\r\n\r\n"),
		Entry("after an early hint", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+head+"Content-Length: 13\r\n\r\n"+body),
		Entry("with bare line feeds", strings.ReplaceAll(head, "\r", "")+"Content-Length: 13\n\n"+body),
	)
})

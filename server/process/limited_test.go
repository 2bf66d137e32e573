package process_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/inbound"
	"cowsliptiller/server/process"
)

var _ = Describe("the limit of the internal listener's connections", func() {
	// Guards against a leader that closes the connections of a large fleet's processes.
	It("does not count those with a proof", func() {
		secret := process.NewSecret(make([]byte, 32), time.Now)
		server := process.InternalServer(secret, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		var opened atomic.Int64
		server.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(inbound.Limited(l, 2)) }()
		DeferCleanup(server.Close)
		clients := make([]*http.Client, 8)
		for i := range clients {
			clients[i] = process.Client(secret)
		}
		for range 2 {
			for _, c := range clients {
				resp, err := c.Get("http://" + l.Addr().String() + "/")
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
				Expect(resp.StatusCode).To(Equal(http.StatusOK))
			}
		}
		Expect(opened.Load()).To(Equal(int64(len(clients))))
	})
})

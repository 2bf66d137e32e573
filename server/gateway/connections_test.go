package gateway

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/inbound"
)

var _ = Describe("the callers' connections", func() {
	// Guards against a deadlock at shutdown: the ConnState hook of a new connection waited
	// for the lock that close held while it waited for the accept loop.
	It("are closed while another one comes in", func() {
		c := newConnections(inbound.Options{Now: time.Now, IdleLimit: func() time.Duration { return time.Minute }})
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		came, goOn := make(chan struct{}), make(chan struct{})
		server := &http.Server{ConnState: func(conn net.Conn, s http.ConnState) {
			if s == http.StateNew {
				close(came)
				<-goOn
			}
			c.trackState(conn, s)
		}}
		c.add(server)
		go func() { _ = server.Serve(l) }()
		conn, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Eventually(came).Should(BeClosed())
		closed := make(chan struct{})
		go func() {
			c.close()
			close(closed)
		}()
		Eventually(func() error {
			another, err := net.Dial("tcp4", l.Addr().String())
			if err == nil {
				_ = another.Close()
			}
			return err
		}, 5*time.Second).Should(HaveOccurred(), "the listener is closed")
		close(goOn)
		Eventually(closed, 5*time.Second).Should(BeClosed())
	})
})

package process_test

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/process"
)

// blockingRole has a handler that returns only when its request is canceled.
type blockingRole struct{ started chan struct{} }

func (h *blockingRole) Name() string { return "blocking" }
func (h *blockingRole) Mount(mux *http.ServeMux) {
	mux.HandleFunc("/hold", func(_ http.ResponseWriter, r *http.Request) {
		close(h.started)
		<-r.Context().Done()
	})
}
func (h *blockingRole) Start(context.Context) error { return nil }
func (h *blockingRole) Ready() error                { return nil }
func (h *blockingRole) Drain(context.Context) error { return nil }
func (h *blockingRole) Close() error                { return nil }

var _ = Describe("a shutdown", func() {
	// A call from another process is running when the shutdown starts. The listener
	// waited 5 s for it, in addition to the drain: the process exceeded its termination
	// grace period and was killed during its last shutdown steps.
	It("ends by its deadline although a call from another process is running", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		secret := process.NewSecret(make([]byte, 32), time.Now)
		role := &blockingRole{started: make(chan struct{})}
		runner := &process.Runner{
			InternalAddress: address, DrainTimeout: 300 * time.Millisecond, Secret: secret,
			Roles: []process.Role{role}, Log: hclog.NewNullLogger(),
		}
		stop, ended := make(chan struct{}), make(chan error, 1)
		go func() { ended <- runner.Run(stop, make(chan struct{})) }()
		go func() {
			for { // the connection is refused until the listener is open
				resp, err := process.Client(secret).Get("http://" + address + "/hold")
				if err == nil {
					_ = resp.Body.Close()
				}
				select {
				case <-role.started:
					return
				default:
				}
			}
		}()
		Eventually(role.started).Should(BeClosed())
		close(stop)
		Eventually(ended, 2*time.Second).Should(Receive(BeNil()))
	})
})

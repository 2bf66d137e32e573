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

// holding is a role with a call that does not end by itself.
type holding struct{ begun chan struct{} }

func (h *holding) Name() string { return "holding" }
func (h *holding) Mount(mux *http.ServeMux) {
	mux.HandleFunc("/hold", func(_ http.ResponseWriter, r *http.Request) {
		close(h.begun)
		<-r.Context().Done()
	})
}
func (h *holding) Start(context.Context) error { return nil }
func (h *holding) Ready() error                { return nil }
func (h *holding) Drain(context.Context) error { return nil }
func (h *holding) Close() error                { return nil }

var _ = Describe("a shutdown", func() {
	// Another process has a call under way here when this one is told to stop. The
	// listener waited five seconds for it, on top of what requests took: the process was
	// still there at the end of its grace and was killed in the middle of its last steps.
	It("is over within its time although a call of another process goes on", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		secret := process.NewSecret(make([]byte, 32), time.Now)
		role := &holding{begun: make(chan struct{})}
		runner := &process.Runner{
			InternalAddress: address, DrainTimeout: 300 * time.Millisecond, Secret: secret,
			Roles: []process.Role{role}, Log: hclog.NewNullLogger(),
		}
		stop, ended := make(chan struct{}), make(chan error, 1)
		go func() { ended <- runner.Run(stop, make(chan struct{})) }()
		go func() {
			for { // refused until it listens
				resp, err := process.Client(secret).Get("http://" + address + "/hold")
				if err == nil {
					_ = resp.Body.Close()
				}
				select {
				case <-role.begun:
					return
				default:
				}
			}
		}()
		Eventually(role.begun).Should(BeClosed())
		close(stop)
		Eventually(ended, 2*time.Second).Should(Receive(BeNil()))
	})
})

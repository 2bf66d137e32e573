package board_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/board"
	"cowsliptiller/server/rpc"
)

var _ = Describe("the software versions of a service at the leader", func() {
	var b *board.Board
	var term atomic.Uint64
	var leading atomic.Bool
	var offset atomic.Int64 // of the clock
	var mu sync.Mutex       // guards the fields below
	var list []targetstatus.Status
	var listError error

	setList := func(err error, targets ...targetstatus.Status) {
		mu.Lock()
		defer mu.Unlock()
		list, listError = targets, err
	}
	listed := func(instance, version string) targetstatus.Status {
		return targetstatus.Status{Instance: instance, Service: "models", Address: "10.0.0.1:" + instance[2:], SoftwareVersion: version}
	}
	ask := func(span time.Duration) *rpc.ServiceVersionsResponse {
		GinkgoHelper()
		resp, err := b.ServiceVersions(context.Background(), &rpc.ServiceVersionsRequest{Service: "models", SpanMs: uint32(span.Milliseconds())})
		Expect(err).NotTo(HaveOccurred())
		return resp
	}
	versions := func() []string { return ask(15 * time.Second).SoftwareVersions }

	BeforeEach(func() {
		term.Store(1)
		leading.Store(true)
		offset.Store(0)
		setList(nil, listed("i-1", "v1"))
		b = board.New(board.Config{
			Leading:    func() (uint64, bool) { return term.Load(), leading.Load() },
			Deployment: func() *coordpb.Deployment { return nil },
			List: func(context.Context) ([]targetstatus.Status, int, error) {
				mu.Lock()
				defer mu.Unlock()
				return list, 0, listError
			},
			Evacuations: func() []*coordpb.Evacuation { return nil },
			Now:         func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }, Log: hclog.NewNullLogger(),
		})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.Run(ctx)
		}()
		DeferCleanup(func() {
			stop()
			<-ended
		})
	})

	// Guards against an answer that lacks a target which hosts may know.
	It("are those of the targets that the table has had in the span", func() {
		Eventually(versions).Should(Equal([]string{"v1"}))
		setList(nil, listed("i-1", "v1"), listed("i-2", "v2"))
		Eventually(versions, 5*time.Second).Should(Equal([]string{"v1", "v2"}))
		setList(nil, listed("i-1", "v1"))
		Consistently(versions, time.Second).Should(Equal([]string{"v1", "v2"}))
		Eventually(func() []string {
			offset.Add(int64(2 * time.Second))
			return versions()
		}, 5*time.Second).Should(Equal([]string{"v1"}))
	})

	// Guards against an answer without a target that the list does not have yet.
	It("have an empty one for a target that only its agent has reported", func() {
		Eventually(versions).Should(Equal([]string{"v1"}))
		_, err := b.Report(context.Background(), &rpc.StandingReport{Standing: &rpc.Standing{Instance: "i-2", Service: "models", Address: "10.0.0.1:2"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(versions()).To(Equal([]string{"", "v1"}))
	})

	// Guards against a leader without the list whose answer counts as one that knows all targets.
	It("are not known until the list was read", func() {
		setList(context.DeadlineExceeded)
		term.Store(2)
		Consistently(func() uint32 { return ask(time.Second).KnownMs }, time.Second).Should(BeZero())
		setList(nil, listed("i-1", "v1"))
		Eventually(func() uint32 { return ask(time.Second).KnownMs }, 5*time.Second).Should(BeNumerically(">", 0))
	})

	// Guards against a leader that reports the time of an earlier term as known.
	It("are known since the beginning of the term at most", func() {
		Eventually(func() uint32 { return ask(time.Second).KnownMs }, 5*time.Second).Should(BeNumerically(">", 100))
		term.Store(2)
		resp := ask(time.Second)
		Expect(resp.KnownMs).To(BeNumerically("<", 100))
		Expect(resp.Epoch).To(Equal(uint64(2)))
	})

	// Guards against an answer of a member that does not lead any more.
	It("are not answered without the lease", func() {
		leading.Store(false)
		_, err := b.ServiceVersions(context.Background(), &rpc.ServiceVersionsRequest{Service: "models"})
		Expect(fault.Is(rpc.FromTwirp(err), fault.NotLeader)).To(BeTrue())
	})
})

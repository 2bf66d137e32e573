package gateway_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
)

// moveWithin is the time in which a call must leave a silent target once it can. Its caller waits
// 2.4 s for each event.
const moveWithin = time.Second

// requestsAt returns the number of callers' requests that a target got.
func (f *fleet) requestsAt(instance string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.ran[instance] {
		if r.URL.Path != platform.ReportPath && r.URL.Path != platform.ReservationPath {
			n++
		}
	}
	return n
}

// askedAt returns the number of callers' requests that a target got, and of reservations for them.
func (f *fleet) askedAt(instance string) int {
	n := f.requestsAt(instance)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.ran[instance] {
		if r.URL.Path == platform.ReservationPath {
			n++
		}
	}
	return n
}

// setModels sets the models that a target holds.
func (f *fleet) setModels(instance string, models ...string) {
	f.wire.mu.Lock()
	defer f.wire.mu.Unlock()
	f.wire.version++
	for i, s := range f.wire.standings {
		if s.Instance != instance {
			continue
		}
		changed := &rpc.Standing{Instance: s.Instance, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Slots: s.Slots, Agent: s.Agent, Reported: true}
		for _, m := range models {
			changed.Models = append(changed.Models, &rpc.HeldModel{Name: m})
		}
		f.wire.standings[i] = changed
	}
}

// whole sends a whole stream of six events, from the requested one on.
func whole(w http.ResponseWriter, r *http.Request, _ int) {
	from := 1
	if r.Header.Get(platform.HeaderLastEvent) != "" {
		from = 4
	}
	stream(w, from, 6, false)
}

const wholeStream = "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\nid: 5\ndata: x5\n\nid: 6\ndata: x6\n\n"

var _ = Describe("a target that is slow to answer", func() {
	// Guards against moving a call away from a target that has queued it: the call would lose its
	// position.
	It("keeps its call as long as its host responds", func() {
		slow := func(w http.ResponseWriter, r *http.Request, n int) {
			if r.URL.Path == platform.ReportPath {
				return
			}
			select {
			case <-time.After(moveWithin):
			case <-r.Context().Done():
			}
			whole(w, r, n)
		}
		f := newFleet("models", slow, slow)
		f.wire.awaitPolls()
		Expect(send(f.request("POST", "/stream/a", "Model", "m")).body).To(Equal(wholeStream))
		Expect(f.requestsAt("i-1") + f.requestsAt("i-2")).To(Equal(1))
	})

	// Guards against a call that stays at a hanging target because no other one held its model
	// when that was asked for the first time.
	It("loses its call once another target holds the model", func() {
		hanging := func(w http.ResponseWriter, r *http.Request, n int) {
			if r.URL.Path != platform.ReportPath {
				hang(w, r, n)
			}
		}
		f := newFleet("models", hanging)
		f.wire.awaitPolls()
		replies := sendLater(f.request("POST", "/stream/a", "Model", "m"))
		Eventually(func() int { return f.requestsAt("i-1") }).Should(Equal(1))
		Consistently(replies, 1600*time.Millisecond).ShouldNot(Receive())
		f.addTarget("i-2", "models", whole)
		var got reply
		Eventually(replies).WithTimeout(moveWithin).Should(Receive(&got))
		Expect(got.body).To(Equal(wholeStream))
	})
})

var _ = Describe("a stream that is resumed", func() {
	// Guards against a wait for the model that counts from the call's arrival: the caller waits from
	// the latest event on.
	It("waits for its model as long as its caller does", func() {
		breaking := func(w http.ResponseWriter, r *http.Request, _ int) {
			if r.URL.Path == platform.ReportPath {
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for _, event := range []string{"id: 1\ndata: x1\n\n", "id: 2\ndata: x2\n\n", "id: 3\ndata: x3\n\n"} {
				_, _ = io.WriteString(w, event)
				w.(http.Flusher).Flush()
				select {
				case <-time.After(750 * time.Millisecond):
				case <-r.Context().Done():
				}
			}
			panic(http.ErrAbortHandler)
		}
		f := newFleet("models", breaking, whole)
		f.setModels("i-2")
		limits := make(chan uint32, 8)
		f.wire.mu.Lock()
		f.wire.ensure = func(_ context.Context, r *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			limits <- r.WaitMs
			f.setModels(r.Instance, "m")
			return &rpc.EnsureResponse{Held: true}, nil
		}
		f.wire.mu.Unlock()
		f.wire.awaitPolls()
		r := f.request("POST", "/stream/a", "Model", "m")
		r.Header.Set(platform.HeaderDeadline, "3000")
		got := send(r)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(wholeStream))
		Expect(<-limits).To(BeNumerically(">", 300))
	})
})

package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/server/rpc"
)

// announcing is a handler whose answers have a load.
func announcing(load string, handle targetHandler) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Server-Load", load)
		handle(w, r, n)
	}
}

// setSpeed sets the lasting speed of a target in the table, from the leader of an epoch.
func (f *fleet) setSpeed(instance string, percent uint32, epoch uint64) {
	f.wire.mu.Lock()
	f.wire.epoch = epoch
	standings := f.wire.standings
	f.wire.standings = nil // the last reply has the former slice
	for _, s := range standings {
		if s.Instance == instance {
			s = proto.CloneOf(s)
			s.SpeedPercent = percent
		}
		f.wire.standings = append(f.wire.standings, s)
	}
	f.wire.version++
	f.wire.mu.Unlock()
	f.wire.awaitPolls()
}

// samples is what the leader got: the responses and the sum of percentages by target.
func (w *wire) samples() (responses map[string]int, sums map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	responses, sums = map[string]int{}, map[string]float64{}
	for _, s := range w.speeds {
		responses[s.Instance] += int(s.Responses)
		sums[s.Instance] += s.PercentSum
	}
	return responses, sums
}

var _ = Describe("the announced speed of targets", func() {
	// Guards against a lost poll that takes samples along, so that the leader does not know a target's
	// speed, and against invalid figures that reach the leader or a caller.
	It("reaches the leader, also after polls that failed", func() {
		f := newFleet("plain", announcing("1,0,6,70", answer(200, "")), announcing("1,0,x,170.5", answer(200, "")), announcing("1,0,6,NaN", answer(200, "")))
		f.wire.failPolls(3)
		for range 60 {
			Expect(send(f.request("GET", "/lookup/")).status).To(Equal(200))
		}
		Eventually(func() int {
			responses, _ := f.wire.samples()
			return responses["i-1"] + responses["i-2"]
		}, 5*time.Second).Should(Equal(f.arrivalsAt("i-1") + f.arrivalsAt("i-2")))
		responses, sums := f.wire.samples()
		Expect(responses).NotTo(HaveKey("i-3"))
		Expect(sums["i-1"]).To(Equal(70 * float64(responses["i-1"])))
		Expect(sums["i-2"]).To(Equal(170.5 * float64(responses["i-2"])))
	})

	// Guards against requests at slow targets without an agent while fast ones are idle, and against a
	// speed that is lost with the leader.
	It("as the leader publishes it decides which target of a plain service gets requests", func() {
		f := newFleet("plain", answer(200, ""), answer(200, ""))
		f.addTarget("i-3", "models", answer(200, ""))
		f.wire.awaitPolls()
		Expect(f.gateway.SpeedFactor("i-2")).To(Equal(1.0))
		Expect(f.gateway.IsContended("plain")).To(BeFalse())
		f.setSpeed("i-1", 70, 1)
		Expect(f.gateway.SpeedFactor("i-2")).To(Equal(0.7), "the median of the service")
		f.setSpeed("i-2", 170, 1)
		Expect(f.gateway.SpeedFactor("i-2")).To(Equal(1.7))
		Expect(f.gateway.IsContended("plain")).To(BeTrue())
		Expect(f.gateway.IsContended("models")).To(BeFalse())
		Expect(f.gateway.SpeedFactor("i-3")).To(Equal(1.0), "of another service")
		f.setSpeed("i-2", 0, 2)
		Expect(f.gateway.SpeedFactor("i-2")).To(Equal(1.7), "a new leader does not know it yet")
		for range 100 {
			Expect(send(f.request("GET", "/lookup/")).status).To(Equal(200))
		}
		Expect(f.arrivalsAt("i-2")).To(BeNumerically("<", 15), "only probes")
		f.setSpeed("i-2", 100, 2)
		f.setSpeed("i-2", 0, 2)
		Expect(f.gateway.SpeedFactor("i-2")).To(Equal(0.7), "the new leader says that it is not known")
	})

	// Guards against refusals at fast targets because of the runs at slow ones, and against queues at slow
	// targets that are longer than estimated.
	It("scales the estimated wait in a queue", func() {
		f := newFleet("models", answer(200, ""), answer(200, ""))
		f.setSpeed("i-1", 70, 1)
		f.setSpeed("i-2", 170, 1)
		for range 50 {
			f.gateway.RecordRun("i-1", 1400*time.Millisecond)
			f.gateway.RecordRun("i-2", 3400*time.Millisecond)
		}
		Expect(f.gateway.QueueWait("i-1", 2)).To(BeNumerically("~", 700*time.Millisecond, 10*time.Millisecond))
		Expect(f.gateway.QueueWait("i-2", 2)).To(BeNumerically("~", 1700*time.Millisecond, 10*time.Millisecond))
	})

	// Guards against loads of rare models on slow targets while a fast one is as soon ready.
	It("puts slow targets after fast ones in the order for a load", func() {
		f := newFleet("models", slices.Repeat([]targetHandler{answer(200, "")}, 8)...)
		for i := 1; i < 8; i++ {
			f.setSpeed(fmt.Sprint("i-", i), 170, 1)
		}
		f.setSpeed("i-8", 70, 1)
		f.gateway.RecordRun("i-8", 1400*time.Millisecond)
		asked := make(chan string, 8)
		f.wire.ensure = func(_ context.Context, r *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			asked <- r.Instance
			return &rpc.EnsureResponse{Reason: "full", RetryAfterMs: 100}, nil
		}
		Expect(send(f.request("POST", "/stream/", "Model", "rare")).status).To(Equal(503))
		Expect(<-asked).To(Equal("i-8"))
	})

	// Guards against a long response that begins where it cannot end in time, although another target
	// would end it.
	It("keeps long responses away from targets where they would miss their deadline", func() {
		f := newFleet("models", announcing("0,0,4", streams(false)), announcing("4,8,4", streams(false)))
		f.setSpeed("i-1", 170, 1)
		f.setSpeed("i-2", 70, 1)
		get := func(n int, headers ...string) {
			for range n {
				Expect(send(f.request("POST", "/stream/", append([]string{"Model", "m"}, headers...)...)).status).To(Equal(200))
			}
		}
		get(5, "Length-Hint", "400") // of more, the host learns that tokens are fast here
		Expect(f.arrivalsAt("i-1")).To(BeZero(), "400 tokens take 3.5 s there, and the caller waits 2.5 s")
		get(30, "Length-Hint", "garbage")
		Expect(f.arrivalsAt("i-1")).To(BeNumerically(">", 0), "it has the shorter queue")
	})
})

// failPolls makes the next polls of the board fail.
func (w *wire) failPolls(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = n
}

// takePoll records a poll and reports whether it fails after its samples were lost. The caller holds mu.
func (w *wire) takePoll(r *rpc.WatchRequest) (fails bool) {
	w.polls++
	if _, err := proto.Marshal(r); err != nil {
		w.unsendable = err
		return true
	}
	if w.failing > 0 {
		w.failing--
		return true
	}
	w.speeds = append(w.speeds, r.Speeds...)
	return false
}

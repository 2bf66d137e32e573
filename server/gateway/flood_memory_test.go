package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/upstream"
)

// peakHeap returns the most heap that is reachable, in bytes, until done is closed.
func peakHeap(done <-chan struct{}) (peak uint64) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-ticker.C:
		}
	}
}

// statusOf sends a request and returns the status of its answer; 0 if that is not complete.
func statusOf(r *http.Request) int {
	response, err := sendWithin(context.Background(), r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

var _ = Describe("many targets' answers without end", func() {
	const (
		calls = 400
		// maxHeap, in bytes, is for all of the calls, with their callers and targets in this process.
		maxHeap = 140 << 20
	)

	// Guards against unfinished events at many connections that fill the memory of a host.
	DescribeTable("hold bounded memory", func(path, prefix, filler string) {
		var closed atomic.Int64
		handle := flooding(prefix, filler, &closed)
		f := newFleet("models", handle, handle, handle, handle)
		f.wire.ensure = func(context.Context, *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
			return &rpc.EnsureResponse{Reason: "no room"}, nil
		}
		f.wire.awaitPolls()
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		var callers sync.WaitGroup
		statuses := make(chan int, calls)
		for n := range calls {
			callers.Go(func() {
				statuses <- statusOf(f.request("POST", path, platform.HeaderModel, "m", platform.HeaderRequestID, fmt.Sprint("r-", n)))
			})
		}
		done := make(chan struct{})
		go func() {
			callers.Wait()
			close(done)
		}()
		peak := peakHeap(done) - m.HeapAlloc
		AddReportEntry("heap", fmt.Sprintf("%d MB for %d calls", peak>>20, calls))
		Expect(peak).To(BeNumerically("<", maxHeap))
		for range calls {
			Expect(<-statuses).To(BeNumerically(">=", 500))
		}
		Eventually(closed.Load).Should(BeNumerically(">=", f.arrivals()))
	},
		Entry("in an event that stops short of its bound", "/once/", okHead+"\r\ndata: "+strings.Repeat("x", 250<<10), ""),
		Entry("in an event that goes on", "/once/", okHead+"\r\ndata: ", "x"),
		Entry("in a head", "/once/", okHead, "A: b\r\n"),
		Entry("in a head that stops short of its bound", "/once/", okHead+strings.Repeat("A: b\r\n", (upstream.MaxHeadBytes-1<<10)/len("A: b\r\n")), ""),
	)
})

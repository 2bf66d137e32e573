package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
)

const (
	// surgeHosts is the number of entry hosts that share the connections before the surge.
	surgeHosts = 6
	// surgeOpeners is how many connections are opened at a time.
	surgeOpeners = 32
	// surgeTargets have four slots each.
	surgeTargets = 4
	// surgeDefault is the number of connections of a surge; COWSLIP_SURGE sets another.
	surgeDefault = 900
	// surgeShare is the least share of requests served in a surge, of that before it.
	surgeShare = 0.75
)

func surgeConnections() int {
	if n, err := strconv.Atoi(os.Getenv("COWSLIP_SURGE")); err == nil {
		return n
	}
	return surgeDefault
}

// surge opens connections to a gateway, each with one request, and leaves them open.
type surge struct {
	fleet   *fleet
	path    string
	headers []string
	serial  atomic.Int64

	mu       sync.Mutex
	open     []net.Conn
	statuses map[int]int // number of answers by status; 0: none
}

func newSurge(f *fleet, path string, headers ...string) *surge {
	s := &surge{fleet: f, path: path, headers: headers, statuses: map[int]int{}}
	DeferCleanup(s.close)
	return s
}

// run opens n connections, parallel ones at a time, and returns how long that took.
func (s *surge) run(n, parallel int) time.Duration {
	start := time.Now()
	left := make(chan struct{}, n)
	for range n {
		left <- struct{}{}
	}
	close(left)
	var openers sync.WaitGroup
	for range parallel {
		openers.Go(func() {
			for range left {
				s.openOne()
			}
		})
	}
	openers.Wait()
	return time.Since(start)
}

func (s *surge) openOne() {
	conn, err := net.Dial("tcp4", s.fleet.address)
	status := 0
	if err == nil {
		status = s.ask(conn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
	if err == nil {
		s.open = append(s.open, conn)
	}
}

// ask sends one request and returns the status of its answer.
func (s *surge) ask(conn net.Conn) int {
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: surge-%d\r\n%s: 2500\r\n", s.path, host, key,
		platform.HeaderRequestID, s.serial.Add(1), platform.HeaderDeadline)
	for i := 0; i < len(s.headers); i += 2 {
		request += s.headers[i] + ": " + s.headers[i+1] + "\r\n"
	}
	if _, err := io.WriteString(conn, request+"Content-Length: 4\r\n\r\nbody"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// take returns the answers by status since it was called last.
func (s *surge) take() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.statuses
	s.statuses = map[int]int{}
	return out
}

func (s *surge) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

// usage is what the process holds.
type usage struct{ heap, descriptors, goroutines int }

func usageNow() usage {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	entries, err := os.ReadDir("/proc/self/fd")
	Expect(err).NotTo(HaveOccurred())
	return usage{int(m.HeapInuse), len(entries), runtime.NumGoroutine()}
}

func servedShare(statuses map[int]int) float64 {
	all := 0
	for _, n := range statuses {
		all += n
	}
	return float64(statuses[http.StatusOK]) / float64(all)
}

var _ = Describe("most new connections of a zone at one host", func() {
	surgeFleet := func(service string, handle targetHandler) *fleet {
		configure := func(c *gateway.Config) {
			c.Source.(*source).current.EntryHosts = entryHosts("e1", "e2", "e3", "e4", "e5", "e6")
			c.Ratio, c.Reserve = 0.1, 0
		}
		f := newFleetWith(configure, service, false, slices.Repeat([]targetHandler{handle}, surgeTargets)...)
		f.wire.awaitPolls()
		return f
	}

	// Guards against a host that serves fewer of the requests that it has read than before.
	DescribeTable("have their requests served as before", func(service, path string, handle targetHandler, headers ...string) {
		f := surgeFleet(service, handle)
		s := newSurge(f, path, headers...)
		n := surgeConnections()
		s.run(n/surgeHosts, surgeOpeners/surgeHosts)
		before := servedShare(s.take())
		idle := usageNow()
		took := s.run(n, surgeOpeners)
		statuses := s.take()
		held := usageNow()
		AddReportEntry("surge", fmt.Sprintf("%d connections, %.0f a second; served %.4f, before %.4f; statuses %v; a connection holds %d B of heap, %.1f descriptors, %.1f goroutines, its caller included",
			n, float64(n)/took.Seconds(), servedShare(statuses), before, statuses,
			(held.heap-idle.heap)/n, float64(held.descriptors-idle.descriptors)/float64(n), float64(held.goroutines-idle.goroutines)/float64(n)))
		Expect(servedShare(statuses)).To(BeNumerically(">=", surgeShare*before))
		Expect(before).To(BeNumerically(">", 0.9))
		Expect(statuses[0]).To(BeZero(), "no connection was closed after its request was read")
		// Two descriptors are of the caller and of the gateway; those to targets are shared.
		Expect(held.descriptors - idle.descriptors).To(BeNumerically("<", 2*n+n/2))
		Expect(held.goroutines - idle.goroutines).To(BeNumerically("<", 2*n))
		Expect((held.heap - idle.heap) / n).To(BeNumerically("<", 64<<10))
	},
		Entry("of calls", "plain", "/order/", answer(200, "booked")),
		Entry("of calls that may be repeated", "plain", "/lookup/", answer(200, "found")),
		Entry("of calls of which one in fifty fails and may be repeated", "plain", "/lookup/", targetHandler(func(w http.ResponseWriter, r *http.Request, n int) {
			if n%50 == 0 {
				breakOff(w, r, n)
			}
			answer(200, "found")(w, r, n)
		})),
		Entry("of streams", "models", "/stream/", targetHandler(func(w http.ResponseWriter, _ *http.Request, _ int) { stream(w, 1, 3, false) }), platform.HeaderModel, "m"),
	)
})

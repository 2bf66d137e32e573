package events_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/events"
)

func TestEvents(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "events")
}

// blockedWriter is an output that blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(line)
}

func (s *blockedWriter) lines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.buf.String(), "\n")
}

var _ = Describe("the writer of log lines", func() {
	// Guards against a process that stops serving because the log collector has stopped
	// reading its output.
	It("never blocks on an output that is blocked, and counts dropped lines", func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		w := events.NewWriter(out)
		for i := range 10_000 {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Dropped()).To(BeNumerically(">", 5000))
		close(out.unblock)
		Eventually(out.lines).Should(BeNumerically(">=", 10_000-int(w.Dropped())))
	})

	It("writes the buffered lines when it is closed", func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		close(out.unblock)
		w := events.NewWriter(out)
		_, _ = io.WriteString(w, "the last line\n")
		w.Close(time.Second)
		Expect(out.lines()).To(Equal(1))
	})
})

var _ = Describe("the log of events", func() {
	var out *bytes.Buffer
	var now time.Time
	var log *events.Log

	BeforeEach(func() {
		out, now = &bytes.Buffer{}, time.Unix(1000, 0)
		logger := hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true})
		log = events.New(logger, func() time.Time { return now })
	})

	// When thousands of requests fail in a second, logging each of them would take CPU
	// time from the requests that can still be served.
	It("limits the rate of lines, and reports how many it skipped", func() {
		for i := range 5000 {
			log.RequestEnded(events.RequestSummary{Request: fmt.Sprint(i), Kind: fault.Overloaded})
		}
		Expect(strings.Count(out.String(), "\n")).To(Equal(300))
		now = now.Add(time.Second)
		log.RequestEnded(events.RequestSummary{Request: "later", Kind: fault.Overloaded})
		Expect(out.String()).To(ContainSubstring(`"skipped_lines":4700`))
	})

	It("samples served requests by their id alone, and failed ones never", func() {
		n := 0
		for i := range 1600 {
			id := fmt.Sprintf("%016x", i*7919)
			if events.Sampled(id) {
				n++
			}
			now = now.Add(time.Second)
			log.RequestEnded(events.RequestSummary{Request: id})
		}
		Expect(n).To(BeNumerically("~", 100, 40))
		Expect(strings.Count(out.String(), "\n")).To(Equal(n))
	})
})

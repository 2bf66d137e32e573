package inbound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/inbound"
)

func TestInbound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inbound")
}

const (
	wholeRequest = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	half         = 20 // bytes of wholeRequest
	idleLimit    = 15 * time.Second
	idleMargin   = 2 * time.Second
	// headerTimeout is above what passLimit lets pass.
	headerTimeout = time.Minute
)

// clock is an injected clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// countingListener counts the bytes that are read from its connections, and notes whether the
// last one with a new deadline waits for a header.
type countingListener struct {
	*net.TCPListener
	read    atomic.Int64
	waiting atomic.Bool
}

type countingConn struct {
	*net.TCPConn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c.(*net.TCPConn), l}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.listener.read.Add(int64(n))
	return n, err
}

func (c countingConn) SetReadDeadline(t time.Time) error {
	c.listener.waiting.Store(t.After(time.Now()))
	return c.TCPConn.SetReadDeadline(t)
}

// callers is a server whose connections belong to a set.
type callers struct {
	*clock
	set      *inbound.Set
	server   *http.Server
	listener *countingListener
	tracked  *inbound.Listener
	release  chan struct{} // ends the requests to /wait
	limit    atomic.Int64  // idle limit in force

	mu     sync.Mutex
	cuts   []inbound.Cut
	pause  http.ConnState // goroutines that enter it are paused
	before atomic.Bool    // they are paused before the set knows of the state
	paused chan struct{}  // closed when one is; nil: none will be
	resume chan struct{}
}

func serveCallers(configure ...func(*http.Server)) *callers {
	GinkgoHelper()
	return serveCallersWith(inbound.Options{}, configure...)
}

func serveCallersWith(o inbound.Options, configure ...func(*http.Server)) *callers {
	GinkgoHelper()
	c := &callers{clock: &clock{now: time.Unix(1000, 0)}, release: make(chan struct{})}
	c.setIdleLimit(idleLimit)
	o.Now, o.IdleLimit, o.IdleMargin, o.OnCut = c.Now, c.idleLimit, idleMargin, c.record
	if o.HeaderLimits == nil {
		o.HeaderLimits = func() inbound.HeaderLimits { return inbound.HeaderLimits{Timeout: headerTimeout} }
	}
	c.set = inbound.NewSet(o)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c.listener = &countingListener{TCPListener: l.(*net.TCPListener)}
	c.tracked = c.set.Listener(c.listener)
	c.server = &http.Server{Handler: http.HandlerFunc(c.handle), ReadHeaderTimeout: time.Minute, ConnState: c.track}
	for _, f := range configure {
		f(c.server)
	}
	go func() { _ = c.server.Serve(c.tracked) }()
	DeferCleanup(c.server.Close)
	return c
}

func (c *callers) idleLimit() time.Duration { return time.Duration(c.limit.Load()) }

func (c *callers) setIdleLimit(d time.Duration) { c.limit.Store(int64(d)) }

func (c *callers) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		<-c.release
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func (c *callers) record(cut inbound.Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts = append(c.cuts, cut)
}

func (c *callers) recorded() []inbound.Cut {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts
}

func (c *callers) track(conn net.Conn, s http.ConnState) {
	if c.before.Load() {
		c.pauseIn(s)
	}
	c.set.TrackState(conn, s)
	if !c.before.Load() {
		c.pauseIn(s)
	}
}

func (c *callers) pauseIn(s http.ConnState) {
	c.mu.Lock()
	paused, resume := c.paused, c.resume
	if paused == nil || s != c.pause {
		c.mu.Unlock()
		return
	}
	c.paused = nil
	c.mu.Unlock()
	close(paused)
	<-resume
}

// pauseBefore is pauseAt, before the set knows of the state.
func (c *callers) pauseBefore(s http.ConnState) (paused <-chan struct{}, resume func()) {
	c.before.Store(true)
	return c.pauseAt(s)
}

// pauseAt pauses the next goroutine that enters a state, as a paused process does. It returns
// a channel that is closed when one has, and a function that ends the pause.
func (c *callers) pauseAt(s http.ConnState) (paused <-chan struct{}, resume func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pause, c.paused, c.resume = s, make(chan struct{}), make(chan struct{})
	resume = sync.OnceFunc(func() { close(c.resume) })
	DeferCleanup(resume)
	return c.paused, resume
}

// caller is a caller's end of a connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (c *callers) dial() *caller {
	GinkgoHelper()
	conn, err := net.Dial("tcp4", c.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() }) // some tests close it
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return &caller{conn, bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// answer returns the body of the next answer.
func (c *caller) answer() (string, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// idle returns a connection with one answer, which has been idle since.
func (c *callers) idle() *caller {
	GinkgoHelper()
	paused, resume := c.pauseAt(http.StateIdle)
	conn := c.dial()
	conn.send(wholeRequest)
	Expect(conn.answer()).To(Equal("/next"))
	Eventually(paused).Should(BeClosed())
	resume()
	Eventually(c.set.IdleReaders).Should(Equal(1))
	return conn
}

// sendHalf sends the first half of a request's header and returns when the server has read it.
func (c *callers) sendHalf(conn *caller) {
	GinkgoHelper()
	before := c.listener.read.Load()
	conn.send(wholeRequest[:half])
	Eventually(c.listener.read.Load).Should(Equal(before + half))
}

var _ = Describe("the connections of a process that ends", func() {
	// Guards against requests that end without an answer and without a log line.
	It("are reported if they hold an unread request", func() {
		c := serveCallers()
		paused, _ := c.pauseAt(http.StateIdle)
		conn := c.dial()
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
		Eventually(paused).Should(BeClosed())
		conn.send(wholeRequest)
		c.advance(time.Second)
		Eventually(func() []inbound.Cut {
			c.set.Stopping()
			return c.recorded()
		}).Should(ContainElement(inbound.Cut{Reason: inbound.Stop, Held: inbound.Unread, Idle: time.Second}))
	})

	It("are reported if they hold a part of a header", func() {
		c := serveCallers()
		conn := c.idle()
		c.sendHalf(conn)
		c.set.Stopping()
		Expect(c.recorded()).To(Equal([]inbound.Cut{{Reason: inbound.Stop, Held: inbound.Read}}))
	})

	It("are reported if they wait for an answer", func() {
		c := serveCallers()
		DeferCleanup(func() { close(c.release) })
		paused, resume := c.pauseAt(http.StateActive)
		conn := c.dial()
		conn.send(strings.Replace(wholeRequest, "/next", "/wait", 1))
		Eventually(paused).Should(BeClosed())
		resume()
		c.set.Stopping()
		Expect(c.recorded()).To(Equal([]inbound.Cut{{Reason: inbound.Stop, Held: inbound.Answering}}))
	})

	It("are not reported if nothing has arrived", func() {
		c := serveCallers()
		c.idle()
		c.set.Stopping()
		Expect(c.recorded()).To(BeEmpty())
	})
})

// passLimit lets the idle limit pass and closes what is idle.
func (c *callers) passLimit() {
	c.advance(idleLimit + idleMargin + time.Second)
	c.set.CloseIdle()
}

var _ = Describe("the close of idle connections", func() {
	// Guards against the close of a connection whose request lies unread in the socket.
	It("leaves one with a request that a paused process has not read", func() {
		c := serveCallers()
		paused, resume := c.pauseAt(http.StateIdle)
		conn := c.dial()
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
		Eventually(paused).Should(BeClosed())
		conn.send(wholeRequest)
		c.passLimit()
		resume()
		Expect(conn.answer()).To(Equal("/next"))
		Expect(c.recorded()).To(BeEmpty())
	})

	// Guards against the close of a connection whose header comes in two packets.
	It("leaves one of whose next header a part has been read", func() {
		c := serveCallers()
		conn := c.idle()
		c.advance(idleLimit)
		c.sendHalf(conn)
		c.passLimit()
		conn.send(wholeRequest[half:])
		Expect(conn.answer()).To(Equal("/next"))
		Expect(c.recorded()).To(BeEmpty())
	})

	// Guards against the close of a connection whose next request was read with the former one.
	It("leaves one whose next request is in the server's buffer", func() {
		c := serveCallers()
		paused, resume := c.pauseAt(http.StateIdle)
		conn := c.dial()
		conn.send(wholeRequest + wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
		Eventually(paused).Should(BeClosed())
		c.passLimit()
		resume()
		Expect(conn.answer()).To(Equal("/next"))
	})

	It("leaves one whose next header is in the server's buffer in part", func() {
		c := serveCallers()
		paused, resume := c.pauseAt(http.StateIdle)
		conn := c.dial()
		conn.send(wholeRequest + wholeRequest[:half])
		Expect(conn.answer()).To(Equal("/next"))
		Eventually(paused).Should(BeClosed())
		resume()
		Eventually(c.listener.waiting.Load).Should(BeTrue())
		c.passLimit()
		conn.send(wholeRequest[half:])
		Expect(conn.answer()).To(Equal("/next"))
	})

	// Guards against the close of a connection whose header was read whole before a long pause.
	It("leaves one whose header is complete and not handled yet", func() {
		c := serveCallers()
		conn := c.idle()
		paused, resume := c.pauseBefore(http.StateActive)
		conn.send(wholeRequest)
		Eventually(paused).Should(BeClosed())
		c.passLimit()
		resume()
		Expect(conn.answer()).To(Equal("/next"))
		Expect(c.recorded()).To(BeEmpty())
	})

	It("closes one on which nothing has arrived", func() {
		c := serveCallers()
		conn := c.idle()
		c.advance(idleLimit)
		c.set.CloseIdle()
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
		Eventually(c.set.IdleReaders).Should(Equal(1))
		c.passLimit()
		_, err := conn.answer()
		Expect(err).To(HaveOccurred())
		Expect(c.recorded()).To(BeEmpty())
	})

	// Guards against connections that are held for ever by a byte of a header.
	It("closes one whose header does not get on", func() {
		c := serveCallers()
		conn := c.idle()
		before := c.listener.read.Load()
		conn.send("G")
		Eventually(c.listener.read.Load).Should(Equal(before + 1))
		c.advance(headerTimeout + time.Second)
		Eventually(func() []inbound.Cut {
			c.set.CloseIdle()
			return c.recorded()
		}).Should(Equal([]inbound.Cut{{Reason: inbound.Header, Held: inbound.Read, Idle: headerTimeout + time.Second, Limit: headerTimeout}}))
		_, err := conn.answer()
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("an idle limit that changes", func() {
	// Guards against the close of connections that callers reuse by the limit they heard of.
	It("stays in force for connections that were last answered under it", func() {
		c := serveCallers()
		conn := c.idle()
		c.setIdleLimit(idleLimit / 3)
		c.advance(idleLimit * 4 / 5)
		c.set.CloseIdle()
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
	})

	It("applies to connections that are answered under it", func() {
		c := serveCallers()
		conn := c.idle()
		c.setIdleLimit(idleLimit / 3)
		paused, resume := c.pauseAt(http.StateIdle)
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
		Eventually(paused).Should(BeClosed())
		resume()
		Eventually(c.set.IdleReaders).Should(Equal(1))
		c.advance(idleLimit/3 + idleMargin + time.Second)
		c.set.CloseIdle()
		_, err := conn.answer()
		Expect(err).To(HaveOccurred())
	})

	It("applies at once if it is longer, also to connections that are idle", func() {
		c := serveCallers()
		conn := c.idle()
		c.setIdleLimit(2 * idleLimit)
		c.passLimit()
		c.setIdleLimit(idleLimit)
		c.set.CloseIdle()
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
	})

	It("ends with the older limit at the latest", func() {
		c := serveCallers()
		conn := c.idle()
		c.setIdleLimit(idleLimit / 3)
		c.passLimit()
		c.set.CloseIdle()
		_, err := conn.answer()
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the connections of a process that stops", func() {
	passDrain := func(c *callers) {
		c.advance(inbound.DrainLimits.Header + time.Second)
		c.set.CloseDrained(inbound.DrainLimits)
	}

	// Guards against the close of a connection whose request lies unread in the socket.
	It("are answered for a request that a paused process has not read", func() {
		c := serveCallers()
		paused, resume := c.pauseAt(http.StateIdle)
		conn := c.dial()
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
		Eventually(paused).Should(BeClosed())
		conn.send(wholeRequest)
		passDrain(c)
		Expect(c.set.Empty()).To(BeFalse())
		resume()
		Expect(conn.answer()).To(Equal("/next"))
	})

	It("are answered for the first request of a new one", func() {
		c := serveCallers()
		paused, resume := c.pauseAt(http.StateNew)
		conn := c.dial()
		Eventually(paused).Should(BeClosed())
		conn.send(wholeRequest)
		passDrain(c)
		Expect(c.set.Empty()).To(BeFalse())
		resume()
		Expect(conn.answer()).To(Equal("/next"))
	})

	It("are not gone before a running answer has been sent", func() {
		c := serveCallers()
		conn := c.dial()
		paused, resume := c.pauseAt(http.StateActive)
		conn.send(wholeRequest)
		Eventually(paused).Should(BeClosed())
		passDrain(c)
		Expect(c.set.Empty()).To(BeFalse())
		resume()
		Expect(conn.answer()).To(Equal("/next"))
	})

	It("are closed if nothing has arrived, also new ones", func() {
		c := serveCallers()
		c.idle()
		c.dial()
		Eventually(c.set.Readers).Should(Equal(2))
		passDrain(c)
		Expect(c.set.Empty()).To(BeTrue())
		Expect(c.recorded()).To(BeEmpty())
	})
})

var _ = Describe("a header's deadline", func() {
	passed := func(s *http.Server) { s.ReadHeaderTimeout = time.Nanosecond }

	// Guards against a deadline that passes in a pause, before the header that has arrived is read.
	It("does not end a connection with an unread header", func() {
		c := serveCallers(passed)
		paused, resume := c.pauseAt(http.StateNew)
		conn := c.dial()
		Eventually(paused).Should(BeClosed())
		conn.send(wholeRequest)
		resume()
		Expect(conn.answer()).To(Equal("/next"))
	})

	It("ends a connection whose header comes slowly", func() {
		c := serveCallers(passed)
		paused, resume := c.pauseAt(http.StateNew)
		conn := c.dial()
		Eventually(paused).Should(BeClosed())
		conn.send(wholeRequest[:half])
		resume()
		_, err := conn.answer()
		Expect(err).To(HaveOccurred())
		Expect(c.listener.read.Load()).To(Equal(int64(half)))
	})
})

var _ = Describe("a listener that stops", func() {
	// Guards against the reset of connections that the kernel has completed.
	It("accepts the connections that wait for it first", func() {
		c := serveCallers()
		paused, resume := c.pauseAt(http.StateNew)
		c.dial()
		Eventually(paused).Should(BeClosed())
		waiting := c.dial()
		waiting.send(wholeRequest)
		Expect(c.tracked.Stop()).To(BeFalse())
		resume()
		Expect(waiting.answer()).To(Equal("/next"))
		Eventually(c.tracked.Stop).Should(BeTrue())
		_, err := net.Dial("tcp4", c.listener.Addr().String())
		Expect(err).To(HaveOccurred())
	})

	// Guards against the end of a server that has accepted a connection and not begun to serve it.
	It("has not stopped before the server's accept loop has ended", func() {
		c := serveCallers()
		paused, resume := c.pauseAt(http.StateNew)
		conn := c.dial()
		Eventually(paused).Should(BeClosed())
		Expect(c.tracked.Stop()).To(BeFalse())
		Expect(c.set.Empty()).To(BeFalse())
		resume()
		Eventually(c.tracked.Stop).Should(BeTrue())
		conn.send(wholeRequest)
		Expect(conn.answer()).To(Equal("/next"))
	})
})

var _ = Describe("a limit of connections", func() {
	limited := func() *callers { return serveCallersWith(inbound.Options{MaxConnections: 1}) }

	It("lets those beyond it wait until others are closed", func() {
		c := limited()
		first := c.idle()
		second := c.dial()
		second.send(wholeRequest)
		Expect(c.tracked.Stop()).To(BeFalse())
		Expect(first.Close()).To(Succeed())
		Expect(second.answer()).To(Equal("/next"))
	})

	// Guards against a stop that waits for a listener without a free connection.
	It("does not hold up a stop", func() {
		c := limited()
		c.idle()
		Eventually(c.tracked.Stop).Should(BeTrue())
	})
})

var _ = Describe("closes beside requests", func() {
	// Guards against the end of a request that has been read, at any moment of the close.
	It("end no request of which a byte was read", func() {
		const connections, requests = 400, 20
		c := serveCallers()
		stop, swept := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(swept)
			for {
				select {
				case <-stop:
					return
				default:
					c.passLimit()
					c.set.CloseDrained(inbound.Limits{})
				}
			}
		}()
		var answered atomic.Int64
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for range connections / 8 {
					answered.Add(c.sendUntilClosed(requests))
				}
			})
		}
		callers.Wait()
		close(stop)
		<-swept
		Expect(c.server.Close()).To(Succeed())
		Expect(answered.Load()).To(BeNumerically(">", 0))
		Expect(c.listener.read.Load()).To(Equal(answered.Load() * int64(len(wholeRequest))))
		Expect(c.recorded()).To(BeEmpty())
	})
})

// sendUntilClosed sends at most n requests on one connection and returns how many were answered.
func (c *callers) sendUntilClosed(n int) (answered int64) {
	conn := c.dial()
	defer conn.Close()
	for range n {
		if _, err := io.WriteString(conn, wholeRequest); err != nil {
			return answered
		}
		if _, err := conn.answer(); err != nil {
			return answered
		}
		answered++
	}
	return answered
}

package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"cowsliptiller/server/upstream"
)

// suspendedServer is a target that accepts a connection and reads one byte of it. The kernel
// acknowledges what fits into a small receive buffer.
type suspendedServer struct {
	address string
	began   chan struct{} // closed when the first byte of a request was read
	resumed chan struct{}
	request chan error // the result of reading that request to its end, after resumed
}

// receiveBuffer, in bytes, is far below longBody.
const receiveBuffer = 4 << 10

var longBody = make([]byte, 30<<10)

func newSuspendedServer() *suspendedServer {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failed)
	}}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	s := &suspendedServer{address: l.Addr().String(), began: make(chan struct{}), resumed: make(chan struct{}), request: make(chan error, 1)}
	go s.serve(l)
	return s
}

func (s *suspendedServer) serve(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReaderSize(c, 16)
	if _, err := r.Peek(1); err != nil {
		s.request <- err
		return
	}
	close(s.began)
	<-s.resumed
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.ReadAll(req.Body)
	}
	s.request <- err
}

// call sends a request with a long body and cancels it when the server has read a part of it.
func (s *suspendedServer) call() error {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.began
		cancel()
	}()
	_, err := upstream.NewPool(time.Now).Do(ctx, &upstream.Request{
		Address: s.address, Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: longBody,
	})
	return err
}

var _ = Describe("a canceled call", func() {
	It("reports how much of the request the target had not acknowledged", func() {
		s := newSuspendedServer()
		err := s.call()
		Expect(err).To(MatchError(context.Canceled))
		Expect(upstream.MaybeSent(err)).To(BeTrue())
		Expect(upstream.Unacknowledged(err)).To(BeNumerically(">", len(longBody)/2))
		close(s.resumed)
	})

	// Guards against delivering a call to a target after its caller has left: the target's host
	// was suspended or cut off, and the kernel sends the unacknowledged bytes when it is back.
	It("does not reach a target that resumes later", func() {
		s := newSuspendedServer()
		Expect(s.call()).To(MatchError(context.Canceled))
		close(s.resumed)
		Expect(<-s.request).To(HaveOccurred())
	})
})

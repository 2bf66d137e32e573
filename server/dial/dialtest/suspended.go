package dialtest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer is the size in bytes of the buffer in which the server's kernel accepts
	// data. It is far below LongBody.
	receiveBuffer = 4 << 10
	// LongBody is the size in bytes of a request body most of which the kernel does not
	// accept.
	LongBody = 30 << 10
)

// SuspendedServer is an HTTP server that accepts one connection and reads one byte of a
// request, and the rest after Resume.
type SuspendedServer struct {
	Address string        // IP:port
	Began   chan struct{} // closed when the first byte was read

	listener net.Listener
	resumed  chan struct{}
	request  chan error
}

// NewSuspendedServer starts a server on the loopback interface.
func NewSuspendedServer() (*SuspendedServer, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &SuspendedServer{
		Address: l.Addr().String(), Began: make(chan struct{}),
		listener: l, resumed: make(chan struct{}), request: make(chan error, 1),
	}
	go s.serve()
	return s, nil
}

func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, failed)
}

// Resume lets the server read on, and returns the error of reading the request to its end.
func (s *SuspendedServer) Resume() error {
	close(s.resumed)
	return <-s.request
}

// Close stops the server.
func (s *SuspendedServer) Close() error { return s.listener.Close() }

func (s *SuspendedServer) serve() {
	c, err := s.listener.Accept()
	if err != nil {
		s.request <- err
		return
	}
	defer c.Close()
	r := bufio.NewReaderSize(c, 16)
	if _, err := r.Peek(1); err != nil {
		s.request <- err
		return
	}
	close(s.Began)
	<-s.resumed
	s.request <- readRequest(r)
}

func readRequest(r *bufio.Reader) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(request.Body)
	return err
}

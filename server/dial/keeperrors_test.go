package dial_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cowsliptiller/server/dial"
)

const (
	answerPart = "part of an answer"
	// uploadBytes is more than the socket buffers of a connection hold.
	uploadBytes = 16 << 20
)

// connect returns both ends of a connection whose near end keeps errors. unacknowledged is its TCP_USER_TIMEOUT.
func connect(t *testing.T, unacknowledged time.Duration) (far *net.TCPConn, kept net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (failed error) {
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	kept, err = dial.KeepingErrors(dialer.DialContext)(context.Background(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far = accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = kept.Close(), far.Close() })
	return far, kept
}

// upload writes until an error, which it sends.
func upload(c net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, uploadBytes))
		written <- err
	}()
	return written
}

func sendPart(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, answerPart); err != nil {
		t.Fatal(err)
	}
}

// expectRead reads to the end and expects the part of the answer and an error.
func expectRead(t *testing.T, c net.Conn, want error) {
	t.Helper()
	text, err := io.ReadAll(c)
	if string(text) != answerPart || !errors.Is(err, want) {
		t.Errorf("read %q, error %v; want %q, error %v", text, err, answerPart, want)
	}
}

// Guards against a connection whose reset was reported to a write and that then looks closed in order.
func TestAResetThatAWriteHasSeenIsNotTheEnd(t *testing.T) {
	far, c := connect(t, 0)
	written := upload(c)
	sendPart(t, far)
	dial.Abort(far)
	if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: %v", err)
	}
	expectRead(t, c, syscall.ECONNRESET)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("second read: %v", err)
	}
}

// Guards against the same where the read waits while the write gets the error.
func TestAResetDuringAReadAndAWriteIsNotTheEnd(t *testing.T) {
	for range 50 {
		far, c := connect(t, 0)
		written := upload(c)
		sendPart(t, far)
		go dial.Abort(far)
		expectRead(t, c, syscall.ECONNRESET)
		<-written
	}
}

// Guards against a lost link whose timeout was reported to a write.
func TestATimeoutThatAWriteHasSeenIsNotTheEnd(t *testing.T) {
	far, c := connect(t, 100*time.Millisecond)
	written := upload(c)
	sendPart(t, far) // and never reads
	if err := <-written; !errors.Is(err, syscall.ETIMEDOUT) {
		t.Fatalf("write: %v", err)
	}
	expectRead(t, c, syscall.ETIMEDOUT)
}

// Guards against failing a complete answer that came before its request was read.
func TestAnOrderlyEndIsTheEndWhateverBecomesOfTheWrite(t *testing.T) {
	far, c := connect(t, 0)
	written := upload(c)
	sendPart(t, far)
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	expectRead(t, c, nil)
	dial.Abort(far)
	if err := <-written; !errors.Is(err, syscall.EPIPE) {
		t.Errorf("write: %v", err)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the write failed: %v", err)
	}
}

// Guards against an error of a deadline or a close that is taken for one of the socket.
func TestADeadlineIsNoErrorOfTheSocket(t *testing.T) {
	far, c := connect(t, 0)
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("a read succeeded after its deadline")
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	sendPart(t, far)
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	expectRead(t, c, nil)
	if n, err := c.Write([]byte("x")); n != 1 || err != nil {
		t.Errorf("wrote %d bytes: %v", n, err)
	}
}

// Guards against a write that blocks after its connection was closed.
func TestClosingEndsAWrite(t *testing.T) {
	far, c := connect(t, 0)
	written := upload(c)
	sendPart(t, far)
	if _, err := io.ReadFull(c, make([]byte, len(answerPart))); err != nil {
		t.Fatal(err)
	}
	dial.Abort(c)
	if err := <-written; !errors.Is(err, net.ErrClosed) {
		t.Errorf("write: %v", err)
	}
	if _, err := io.Copy(io.Discard, far); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer read %v, want a reset", err)
	}
}

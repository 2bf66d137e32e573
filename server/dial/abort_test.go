package dial_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"cowsliptiller/server/dial"
	"cowsliptiller/server/dial/dialtest"
)

// Guards against delivering a request to a peer that was suspended when its connection was
// closed, and is back.
func TestClosingWithdrawsARequestThatHasNotArrived(t *testing.T) {
	s, err := dialtest.NewSuspendedServer()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := dial.ResettingOnClose((&net.Dialer{}).DialContext)(context.Background(), "tcp4", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("x", dialtest.LongBody)
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	<-s.Began
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Resume(); err == nil {
		t.Error("the peer got the whole request")
	}
}

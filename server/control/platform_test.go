package control_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"cowsliptiller/server/control"
)

// endless responds to each request with prefix and then with filler until its reader closes the connection. sent counts the
// bytes that its kernel accepted.
func endless(t *testing.T, prefix, filler string, sent *atomic.Int64) (url string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				continue
			}
			n, err := io.WriteString(c, prefix)
			for part := strings.Repeat(filler, 4<<10); err == nil; n, err = io.WriteString(c, part) {
				sent.Add(int64(n))
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a list without end that uses up the memory of a control host.
func TestAnEndlessPlatformListIsBounded(t *testing.T) {
	for name, text := range map[string][2]string{
		"head":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"1xx heads":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"value":      {"HTTP/1.1 200 OK\r\n\r\n{\"hosts\":[{\"host\":\"", "x"},
		"entries":    {"HTTP/1.1 200 OK\r\n\r\n{\"hosts\":[", "{},"},
		"no 200":     {"HTTP/1.1 503 Full\r\n\r\n", "x"},
		"status 000": {"HTTP/1.1 000 X\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var sent atomic.Int64
			g.Expect(control.ReadPlatform(background, endless(t, text[0], text[1], &sent))).NotTo(Succeed())
			// The bound of the body, and the socket buffers.
			g.Expect(sent.Load()).To(BeNumerically("<", 12<<20))
		})
	}
}

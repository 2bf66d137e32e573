package process_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/process"
)

var _ = Describe("the client for calls between processes", func() {
	secret := process.NewSecret([]byte("the fleet's secret"), time.Now)

	// Guards against an answer without end that uses up the memory: the address may be another process's.
	It("bounds what it reads of an answer", func() {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			part := make([]byte, 1<<20)
			for _, err := w.Write(part); err == nil; {
				_, err = w.Write(part)
			}
		}))
		server.Config.Protocols = protocols
		server.Start()
		DeferCleanup(server.Close)
		resp, err := process.Client(secret).Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		var tooLarge *http.MaxBytesError
		Expect(errors.As(err, &tooLarge)).To(BeTrue())
		Expect(n).To(Equal(tooLarge.Limit))
	})

	// Guards against bytes that are not HTTP/2 and are read to the call's deadline.
	DescribeTable("ends at what is not HTTP/2", func(text string) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		var sent atomic.Int64
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go func() {
					defer c.Close()
					_, _ = bufio.NewReader(c).ReadByte()
					for n, err := 0, error(nil); err == nil; n, err = io.WriteString(c, strings.Repeat(text, 1<<10)) {
						sent.Add(int64(n))
					}
				}()
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String(), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = process.Client(secret).Do(r)
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(sent.Load()).To(BeNumerically("<", 16<<20))
	},
		Entry("a head of HTTP/1.1", "HTTP/1.1 200 OK\r\nA: b\r\n"), Entry("zero bytes", "\x00"), Entry("text", "x"),
	)
})

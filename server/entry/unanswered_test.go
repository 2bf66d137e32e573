package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a kept connection of a caller", func() {
	const request = "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + labsKey + "\r\n\r\n"
	const half = 20

	// Guards against a stop that closes connections with requests that were not read yet.
	It("is answered for a request whose header is complete after the host stopped listening", func() {
		f := newFleet(1)
		address := f.entries[0].Address().String()
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(generous))).To(Succeed())
		reader := bufio.NewReader(conn)
		status := func() (int, error) {
			r, err := http.ReadResponse(reader, nil)
			if err != nil {
				return 0, err
			}
			_, err = io.Copy(io.Discard, r.Body)
			return r.StatusCode, err
		}
		send := func(text string) {
			_, err := io.WriteString(conn, text)
			Expect(err).NotTo(HaveOccurred())
		}
		send(request)
		Expect(status()).To(Equal(http.StatusOK))
		send(request[:half])
		drained := make(chan error, 1)
		go func() { drained <- f.entries[0].Drain(context.Background()) }()
		Eventually(func() error {
			another, err := net.Dial("tcp", address)
			if err == nil {
				_ = another.Close()
			}
			return err
		}).WithTimeout(generous).Should(HaveOccurred())
		send(request[half:])
		Expect(status()).To(Equal(http.StatusServiceUnavailable))
		Eventually(drained).WithTimeout(generous).Should(Receive(Succeed()))
	})
})

package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/framing"
	"cowsliptiller/server/upstream"
)

// newResponder sends a response to each request and closes the connection if the response has ended.
func newResponder(response string) *rawServer {
	return newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
		defer c.Close()
		if p.readRequest(r) {
			_, _ = io.WriteString(c, response)
		}
	})
}

// viaTransport gets a response from a server with a client of net/http that checks heads.
func viaTransport(p *rawServer) (string, error) {
	client := &http.Client{Transport: upstream.CheckHeads(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+p.Addr().String(), "", nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// expectRejected expects that no client takes a response for an answer.
func expectRejected(response string, want error) {
	GinkgoHelper()
	_, err := get(upstream.NewPool(time.Now), newResponder(response))
	Expect(err).To(MatchError(want))
	Expect(upstream.MaybeSent(err)).To(BeTrue())
	_, err = viaTransport(newResponder(response))
	Expect(err).To(MatchError(want))
}

// expectBody expects that all clients take a response for an answer.
func expectBody(response, want string) {
	GinkgoHelper()
	Expect(get(upstream.NewPool(time.Now), newResponder(response))).To(Equal(want))
	Expect(viaTransport(newResponder(response))).To(Equal(want))
}

var _ = Describe("the status of a response", func() {
	// Guards against a status of no HTTP that is skipped as an interim one, so that the body is taken for the answer's
	// head, or that reaches a caller.
	DescribeTable("is rejected where HTTP has no such status", func(status string) {
		expectRejected("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok", framing.ErrStatus)
		expectRejected("HTTP/1.1 "+status+"\r\n\r\n"+okResponse, framing.ErrStatus)
		expectRejected("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" X\r\n\r\n"+okResponse, framing.ErrStatus)
	},
		Entry("zero", "000"), Entry("one", "001"), Entry("below 100", "099"), Entry("with a sign", "+20"),
		Entry("a switch of protocols that was not requested", "101"), Entry("above 599", "600"), Entry("the highest", "999"),
	)

	// Guards against rejecting what servers send.
	DescribeTable("is accepted", func(head string) {
		expectBody(head+"\r\nContent-Length: 2\r\n\r\nok", "ok")
	},
		Entry("without a reason", "HTTP/1.1 200 "), Entry("without a reason and its space", "HTTP/1.1 200"),
		Entry("the highest", "HTTP/1.1 599 X"), Entry("without a name", "HTTP/1.1 299 X"),
		Entry("after interim ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\nA: b\n\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK"),
	)
})

var _ = Describe("a client of net/http that checks heads", func() {
	// Guards against a limit or a check that counts the bodies before a head on a kept connection.
	It("checks each head of a connection", func() {
		body := string(make([]byte, upstream.MaxHeadBytes))
		p := newRawServer(func(p *rawServer, c net.Conn, r *bufio.Reader, _ int) {
			for _, status := range []string{"200", "503", "099"} {
				if !p.readRequest(r) {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 16384\r\n\r\n"+body)
			}
		})
		client := &http.Client{Transport: upstream.CheckHeads(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
		DeferCleanup(client.CloseIdleConnections)
		for range 2 {
			resp, err := client.Post("http://"+p.Addr().String(), "", nil)
			Expect(err).NotTo(HaveOccurred())
			got, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got) == body).To(BeTrue())
			Expect(resp.Body.Close()).To(Succeed())
		}
		_, err := client.Post("http://"+p.Addr().String(), "", nil)
		Expect(err).To(MatchError(framing.ErrStatus))
		requests, conns := p.counts()
		Expect([]int{requests, conns}).To(Equal([]int{3, 1}))
	})
})

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

var _ = Describe("the name of a field of a response", func() {
	// Guards against a field that is ignored because of its name: its line would be lost, or the body end elsewhere.
	DescribeTable("is rejected where it is no token", func(field string) {
		rest := "Content-Length: 2\r\n\r\nok"
		expectRejected("HTTP/1.1 200 OK\r\n"+field+"\r\n"+rest, framing.ErrFieldName)
		expectRejected("HTTP/1.1 200 OK\r\nA: b\r\n"+field+"\r\nB: c\r\n"+rest, framing.ErrFieldName)
		expectRejected("HTTP/1.1 200 OK\n"+field+"\n\nok", framing.ErrFieldName)
		expectRejected("HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+okResponse, framing.ErrFieldName)
	},
		Entry("a blank inside", "X Odd: v"), Entry("a blank behind", "X-Odd : v"), Entry("a tab behind", "X-Odd\t: v"),
		Entry("a blank behind a length", "Content-Length : 2"), Entry("a blank inside a length", "Content- Length: 2"),
		Entry("a blank behind an encoding", "Transfer-Encoding : chunked"),
		Entry("a zero byte", "X\x00Odd: v"), Entry("a control byte", "X\x01Odd: v"), Entry("a delete byte", "X\x7fOdd: v"),
		Entry("a byte above ASCII", "X\xffOdd: v"), Entry("a carriage return", "X\rOdd: v"),
		Entry("a separator", "X(Odd): v"), Entry("nothing", ": v"),
	)

	// Guards against trailers of which only a part is valid.
	It("is rejected in trailers", func() {
		chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
		expectRejected(chunked+"A: b\r\nX Odd: v\r\n\r\n", framing.ErrFieldName)
		expectRejected(chunked+"X-Odd : v\r\n\r\n", framing.ErrFieldName)
		expectBody(chunked+"A: b\r\nX-Odd: v\r\n\r\n", "ok")
	})

	// Guards against rejecting what servers send.
	DescribeTable("is accepted", func(field string) {
		expectBody("HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 2\r\n\r\nok", "ok")
		expectBody("HTTP/1.1 200 OK\n"+field+"\nContent-Length: 2\n\nok", "ok")
	},
		Entry("with each character of a token", "x_1!#$%&'*+-.^`|~: v"), Entry("without a value", "X-Odd:"),
		Entry("without a blank before the value", "X-Odd:v"), Entry("with a colon in the value", "X-Odd: a: b c: d"),
		Entry("with a value that is continued", "X-Odd: a\r\n b c: d"),
	)
})

var _ = Describe("the framing of a response", func() {
	// Guards against a body that ends elsewhere than its sender meant.
	DescribeTable("is rejected where its fields contradict each other", func(head string) {
		expectRejected(head+"\r\n\r\n2\r\nok\r\n0\r\n\r\n", framing.ErrFraming)
	},
		Entry("an encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"),
		Entry("an encoding beside a length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2"),
		Entry("a length beside an encoding", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked"),
		Entry("a length in a continued line", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2"),
		Entry("an encoding in a continued line", "HTTP/1.1 200 OK\r\nA: b\r\n\tTransfer-Encoding : chunked"),
	)

	// Guards against bytes of another protocol that are taken for an answer.
	DescribeTable("is not looked for after a status line of another protocol", func(line string) {
		expectRejected(line+"\r\nContent-Length: 2\r\n\r\nok", framing.ErrStatusLine)
	},
		Entry("HTTP/0.9", "HTTP/0.9 200 OK"), Entry("HTTP/2", "HTTP/2.0 200 OK"), Entry("HTTP/3", "HTTP/3.0 200 OK"),
		Entry("a control byte in the reason", "HTTP/1.1 200 O\x01K"), Entry("a zero byte", "HTTP/1.1 200 OK\x00"),
		Entry("a carriage return", "HTTP/1.1 200 O\rK"),
	)

	// Guards against rejecting what servers send.
	DescribeTable("is accepted", func(head, body, want string) { expectBody(head+"\r\n\r\n"+body, want) },
		Entry("a length in HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2", "ok", "ok"),
		Entry("a later minor version", "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n", "ok"),
		Entry("a tab and bytes above ASCII in the reason", "HTTP/1.1 200 \tO\xe9K\r\nContent-Length: 2", "ok", "ok"),
		Entry("a length whose value is continued", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 2", "ok", "ok"),
		Entry("neither, in HTTP/1.0", "HTTP/1.0 200 OK", "ok", "ok"),
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

package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeAnswer is a response that a target sends in the body of another one.
const fakeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"

var _ = Describe("an answer with an invalid head", func() {
	expectBadGateway := func(response string) {
		GinkgoHelper()
		f := newFleet("plain", raw(response))
		r := send(f.request("POST", "/order/"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(502))
		Expect(r.body).NotTo(ContainSubstring("fake"))
		Expect(f.arrivals()).To(Equal(1))
	}

	// Guards against a status of no HTTP that reaches a caller, and a body that is taken for the answer.
	DescribeTable("is no answer where HTTP has no such status", func(status string) {
		expectBadGateway("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok")
		expectBadGateway("HTTP/1.1 " + status + " X\r\n\r\n" + fakeAnswer)
	},
		Entry("zero", "000"), Entry("one", "001"), Entry("below 100", "099"),
		Entry("a switch of protocols that was not requested", "101"), Entry("above 599", "600"), Entry("the highest", "999"),
	)

	// Guards against an answer with another body than the target's, or without one of its fields.
	DescribeTable("is no answer where the name of a field is no token", func(head, body string) {
		expectBadGateway("HTTP/1.1 200 OK" + typeJSON + head + "\r\n\r\n" + body)
		expectBadGateway("HTTP/1.1 103 Early Hints\r\n" + head + "\r\n\r\n" + fakeAnswer)
	},
		Entry("a blank inside", "X Odd: v", "{}"), Entry("a blank behind a length", "Content-Length : 2", "{}more"),
		Entry("a blank behind an encoding", "Transfer-Encoding : chunked", "2\r\n{}\r\n0\r\n\r\n"),
		Entry("a control byte", "X\x01Odd: v", "{}"), Entry("a tab", "X\tOdd: v", "{}"), Entry("nothing", ": v", "{}"),
	)

	// Guards against an answer with another body than the target's.
	DescribeTable("is no answer where its framing or protocol is not certain", func(line, fields, body string) {
		expectBadGateway(line + typeJSON + fields + "\r\n" + body)
	},
		Entry("chunks in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"),
		Entry("a length beside chunks", "HTTP/1.1 200 OK", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"),
		Entry("a length in a continued line", "HTTP/1.1 200 OK", " Content-Length: 2\r\n", "{}more"),
		Entry("HTTP/2", "HTTP/2.0 200 OK", "Content-Length: 2\r\n", "{}"), Entry("HTTP/0.9", "HTTP/0.9 200 OK", "Content-Length: 2\r\n", "{}"),
		Entry("a control byte in the reason", "HTTP/1.1 200 O\x01K", "Content-Length: 2\r\n", "{}"),
	)

	// Guards against failing a call that may be repeated because of one target's invalid answer.
	It("is replaced by another target's answer where the call may be repeated", func() {
		f := newFleet("plain", raw("HTTP/1.1 000 X\r\n\r\n"+fakeAnswer), answer(200, "whole"))
		for range 10 {
			Expect(send(f.request("GET", "/lookup/")).summary()).To(Equal("200 whole"))
		}
	})
})

package framing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/framing"
)

var _ = Describe("the head of a response", func() {
	check := func(head string) error {
		_, err := framing.CheckHead([]byte(head))
		return err
	}

	// Guards against a status of no HTTP that looks like an interim or a final one.
	It("has a status of HTTP", func() {
		for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "2x0"} {
			Expect(check("HTTP/1.1 "+status+" X\r\n\r\n")).To(MatchError(framing.ErrStatus), status)
		}
		for _, status := range []string{"100", "102", "199", "200", "299", "418", "500", "599"} {
			Expect(check("HTTP/1.1 "+status+" X\r\n\r\n")).To(Succeed(), status)
			Expect(check("HTTP/1.1 "+status+"\n\n")).To(Succeed(), status)
		}
	})

	// Guards against a field that is ignored because of its name.
	It("has fields whose names are tokens", func() {
		for _, name := range []string{"", " ", "X Odd", "X-Odd ", "X\tOdd", "X\x00", "X\x7f", "X\xff", "X(", "\"X\"", "X,Y", "X\r"} {
			Expect(check("HTTP/1.1 200 OK\r\nA: b\r\nB"+name+": v\r\n\r\n") != nil).To(Equal(name != ""), "%q", name)
			Expect(framing.IsFieldName(name)).To(BeFalse(), "%q", name)
		}
		Expect(check("HTTP/1.1 200 OK\r\n: v\r\n\r\n")).To(MatchError(framing.ErrFieldName))
		Expect(check("HTTP/1.1 200 OK\nX-1_!#$%&'*+.^`|~: a b: c\n d e: f\n\tg\n\n")).To(Succeed())
	})

	// Guards against a body that ends elsewhere than its sender meant.
	It("marks the end of its body in one way", func() {
		for head, want := range map[string]error{
			"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n":                    framing.ErrFraming,
			"HTTP/1.1 200 OK\nContent-Length: 2\nTransfer-Encoding: chunked\n\n": framing.ErrFraming,
			"HTTP/1.1 200 OK\nA: b\n CONTENT-LENGTH: 2\n\n":                      framing.ErrFraming,
			"HTTP/1.1 200 OK\nA: b\n\t transfer-encoding : chunked\n\n":          framing.ErrFraming,
			"HTTP/2.0 200 OK\n\n":       framing.ErrStatusLine,
			"HTTP/0.9 200 OK\n\n":       framing.ErrStatusLine,
			"HTTP/1.1 200 O\x7fK\n\n":   framing.ErrStatusLine,
			"HTTP/1.1 200 O\rK\r\n\r\n": framing.ErrStatusLine,
			"HTTP/1.0 200 OK\nContent-Length: 2\nX-Transfer-Encoding: a\n\n":                       nil,
			"HTTP/1.9 200 \tO\xe9K\r\nTransfer-Encoding: chunked\nA: b\n c: Content-Length: 2\n\n": nil,
		} {
			Expect(check(head)).To(Satisfy(func(err error) bool { return err == want }), "%q", head)
		}
	})

	It("is followed by another one if it is interim", func() {
		for status, want := range map[string]bool{"100": true, "103": true, "200": false, "503": false} {
			interim, err := framing.CheckHead([]byte("HTTP/1.1 " + status + " X\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(interim).To(Equal(want), status)
		}
	})

	// Guards against an error that hides what the parser says of the same head.
	It("is left to the parser where that rejects it", func() {
		for _, head := range []string{"\r\n", "HTTP/1.1\r\n\r\n", "HTTP/1.1 20 X\r\n\r\n", "HTTP/1.1 2000 X\r\n\r\n", "HTTP/11 200 X\n\n", "http/1.1 200 X\n\n", "x\n\n"} {
			Expect(check(head)).To(Succeed())
		}
	})
})

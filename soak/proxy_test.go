package soak

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A connection that lost data must deliver nothing more. The proxy dropped three events of
// a stream while it was silent and forwarded the rest, so that the stream lacked events in
// the middle and looked complete.
func TestASilencedConnectionStaysSilent(t *testing.T) {
	g := NewWithT(t)
	back, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer back.Close()
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer front.Close()
	p := &proxy{backend: back.Addr().String()}
	p.serve(front)
	caller, err := net.Dial("tcp4", front.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer caller.Close()
	target, err := back.Accept()
	g.Expect(err).NotTo(HaveOccurred())

	got := make(chan string, 8)
	go func() {
		buffer := make([]byte, 8)
		for {
			n, err := caller.Read(buffer)
			if err != nil {
				got <- err.Error()
				return
			}
			got <- string(buffer[:n])
		}
	}()
	say := func(text string) {
		_, err := io.WriteString(target, text)
		g.Expect(err).NotTo(HaveOccurred())
	}
	say("a")
	g.Eventually(got, recoveryTimeout).Should(Receive(Equal("a")))
	p.setFault("oneway")
	say("b")
	g.Consistently(got, 100*time.Millisecond).ShouldNot(Receive())
	p.setFault("")
	say("c")
	g.Expect(target.Close()).To(Succeed())
	var after string
	g.Eventually(got, recoveryTimeout).Should(Receive(&after))
	g.Expect(after).To(Equal("EOF"), "no data is delivered after the lost data")
}

package soak

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stand-in network that delivers data, or an orderly close, after a gap: streams
// then lack events and look complete, which no network does.
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
	g.Expect(after).To(ContainSubstring("reset"), "neither data nor an orderly close is delivered after the lost data")
}

package socket_test

import (
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/socket"
)

func TestSocket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "socket")
}

var _ = Describe("a look at a socket", func() {
	var near, far net.Conn
	BeforeEach(func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		far, err = net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		near, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _, _ = near.Close(), far.Close() })
	})
	look := func() socket.State { return socket.Look(near) }

	It("tells unread bytes from none, and leaves them unread", func() {
		Expect(look()).To(Equal(socket.Empty))
		_, err := far.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(look).Should(Equal(socket.Unread))
		b := make([]byte, 8)
		Expect(near.Read(b)).To(Equal(3))
		Expect(look()).To(Equal(socket.Empty))
	})

	It("does not wait for a read in progress", func() {
		reading := make(chan error)
		go func() {
			_, err := near.Read(make([]byte, 1))
			reading <- err
		}()
		Expect(look()).To(Equal(socket.Empty))
		Expect(far.Close()).To(Succeed())
		Eventually(reading).Should(Receive(HaveOccurred()))
	})

	It("sees the end of a connection", func() {
		Expect(far.Close()).To(Succeed())
		Eventually(look).Should(Equal(socket.Ended))
		Expect(near.Close()).To(Succeed())
		Expect(look()).To(Equal(socket.Ended))
	})

	It("knows nothing of what is not a socket", func() {
		a, b := net.Pipe()
		DeferCleanup(func() { _, _ = a.Close(), b.Close() })
		Expect(socket.Look(a)).To(Equal(socket.Unknown))
	})

	It("sees a connection that waits to be accepted", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		pending := func() bool { return socket.Pending(l) }
		Expect(pending()).To(BeFalse())
		waiting, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(waiting.Close)
		Eventually(pending).Should(BeTrue())
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		Expect(pending()).To(BeFalse())
	})
})

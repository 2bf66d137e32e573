package node_test

import (
	"net"
	"os"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/process"
	"cowsliptiller/server/process/processtest"
)

// newHost listens on a free loopback port until it is closed.
func newHost(id uint64) *host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	folder, err := os.MkdirTemp("", "member")
	Expect(err).NotTo(HaveOccurred())
	h := &host{
		member: &coordpb.Member{Id: id, Address: listener.Addr().String()},
		folder: folder, machine: &register{},
		secret: process.NewSecret([]byte("a secret of the tests"), time.Now),
		fatal:  make(chan error, 1),
	}
	h.server = process.InternalServer(h.secret, h)
	go func() { _ = h.server.Serve(processtest.CountingListener{Listener: listener, Bytes: &h.bytes}) }()
	return h
}

func (h *host) close() {
	h.stop()
	_ = h.server.Close()
	_ = os.RemoveAll(h.folder)
}

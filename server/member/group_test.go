package member_test

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/process"
)

// connectionsPerPeer is the largest number of connections of a member to another one: two for
// messages of the log, one for calls of the role.
const connectionsPerPeer = 3

// group starts three hosts on loopback, each on a disk of its own. connections counts the open ones.
func group(connections *atomic.Int64) (hosts []*host, disks []*disk) {
	GinkgoHelper()
	var listeners []net.Listener
	var seeds []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners, seeds = append(listeners, l), append(seeds, l.Addr().String())
	}
	for i, l := range listeners {
		d := &disk{}
		h := newHost(d.wrap(vfs.Default), filepath.Join(GinkgoT().TempDir(), fmt.Sprint(i)), seeds[i], seeds)
		server := process.InternalServer(secret, h.Supervisor)
		server.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				connections.Add(1)
			case http.StateClosed:
				connections.Add(-1)
			}
		}
		go func() { _ = server.Serve(l) }()
		h.start()
		DeferCleanup(func() { _ = server.Close() })
		DeferCleanup(h.stop)
		hosts, disks = append(hosts, h), append(disks, d)
	}
	return hosts, disks
}

var _ = Describe("a group in which one disk after the other is full for a while", func() {
	// Guards against a group that loses its majority because members whose disks have room again do
	// not run, and against connections and goroutines that each failure leaves behind.
	It("keeps its majority and all that it acknowledged, and leaves nothing behind", func() {
		var connections atomic.Int64
		before := runtime.NumGoroutine()
		DeferCleanup(func() { eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before)) })
		hosts, disks := group(&connections)
		var domains []string
		acknowledge := func(by *host) {
			GinkgoHelper()
			domain := fmt.Sprintf("d%d", len(domains))
			eventually(func() error { return by.acknowledge(domain) }).Should(Succeed())
			domains = append(domains, domain)
		}
		failEach := func() {
			GinkgoHelper()
			for i, h := range hosts {
				other := hosts[(i+1)%len(hosts)]
				disks[i].refuse(everyChange)
				acknowledge(other)
				eventually(h.isRunning).Should(BeFalse())
				acknowledge(other)
				disks[i].repair()
				for _, h := range hosts {
					eventually(h.acknowledged).Should(ContainElements(domains))
				}
			}
		}
		acknowledge(hosts[0])
		for range 4 {
			failEach()
		}
		eventually(connections.Load).Should(BeNumerically("<=", connectionsPerPeer*len(hosts)*(len(hosts)-1)))
	})
})

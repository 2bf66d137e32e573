package e2e

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay stands on the path to one process. It can go silent for the connections
// that are open, as something between two ends does that lost track of them, or
// for all connections, as a network partition does. Nothing is closed then:
// neither end gets an error.
type relay struct {
	address  string
	to       string
	listener net.Listener

	mu     sync.Mutex
	silent map[net.Conn]bool // connections that pass nothing on
	open   map[net.Conn]bool
	cut    bool // new connections are silent too
}

func newRelay(address, to string) *relay {
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	r := &relay{address: l.Addr().String(), to: to, listener: l, silent: map[net.Conn]bool{}, open: map[net.Conn]bool{}}
	go r.accept()
	DeferCleanup(r.close)
	return r
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.open[c] = true
		if r.cut {
			r.silent[c] = true
		}
		r.mu.Unlock()
		go r.join(c)
	}
}

// join connects one accepted connection and passes both ways on.
func (r *relay) join(c net.Conn) {
	defer r.forget(c)
	up, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	done := make(chan struct{}, 2)
	go r.copy(c, up, c, done)
	go r.copy(c, c, up, done)
	<-done
	if !r.isSilent(c) {
		_ = c.Close()
		_ = up.Close()
	}
	<-done
	_ = c.Close()
	_ = up.Close()
}

// copy passes bytes on until its source ends; in silence it reads and drops, and
// an end is not told.
func (r *relay) copy(c, to, from net.Conn, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isSilent(c) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	done <- struct{}{}
}

func (r *relay) isSilent(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[c]
}

func (r *relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	delete(r.silent, c)
}

// silence makes the connections that are open now silent for good; new ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		r.silent[c] = true
	}
}

// partition makes all connections silent, also new ones, until heal.
func (r *relay) partition() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.silence()
}

// heal lets new connections through again; the old ones stay silent.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		_ = c.Close()
	}
}

package entry_test

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// proxy stands between two processes and can lose track of the connections that
// are open: they stay open and carry nothing more, while new ones work.
type proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	silent chan struct{} // closed: the connections of this time carry nothing
	paused chan struct{} // closed: connections carry what has been held back; nil: they are not paused
	opened int
}

func newProxy(to string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: listener, to: to, silent: make(chan struct{})}
	DeferCleanup(listener.Close)
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence loses track of all connections that are open now.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

// pause holds back what the connections carry, for a time.
func (p *proxy) pause(d time.Duration) {
	resumed := make(chan struct{})
	p.mu.Lock()
	p.paused = resumed
	p.mu.Unlock()
	time.AfterFunc(d, func() { close(resumed) })
}

// awaitResumed returns when the connections are not paused.
func (p *proxy) awaitResumed() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.opened++
		silent := p.silent
		p.mu.Unlock()
		go p.carry(in, out, silent)
		go p.carry(out, in, silent)
	}
}

// carry copies until an end closes. Once silent, it takes and drops bytes, and
// tells neither end when the other closes.
func (p *proxy) carry(from, to net.Conn, silent <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.awaitResumed()
		select {
		case <-silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			_ = to.Close()
			return
		}
	}
}

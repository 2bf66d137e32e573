package entry_test

import (
	"io"
	"net"
	"sync"

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
		go carry(in, out, silent)
		go carry(out, in, silent)
	}
}

// carry copies until an end closes. Once silent, it takes and drops bytes, and
// tells neither end when the other closes.
func carry(from, to net.Conn, silent <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
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

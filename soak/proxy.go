package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a target and injects link faults.
type proxy struct {
	backend string

	mu        sync.Mutex
	linkFault string // "", delay, reset, silent, oneway
	conns     map[net.Conn]bool
}

// proxyDelay is the delay of each chunk under the delay fault: several round trips between
// zones.
const proxyDelay = 30 * time.Millisecond

func (p *proxy) serve(l net.Listener) {
	p.conns = map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c)
		}
	}()
}

// setFault sets the link fault. reset only closes the connections open now, and leaves no
// fault set.
func (p *proxy) setFault(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkFault = name
	if name != "reset" {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.linkFault = ""
}

func (p *proxy) currentFault() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.linkFault
}

func (p *proxy) relay(c net.Conn) {
	defer c.Close()
	b, err := net.Dial("tcp4", p.backend)
	if err != nil {
		return
	}
	defer b.Close()
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.pipe(b, c, false)
	p.pipe(c, b, true)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pipe copies one direction of a connection; fromTarget is true from the target to the
// client. Once it has dropped data it forwards nothing more in this direction, because
// TCP never delivers bytes after a gap. Forwarding again produced streams that looked
// complete and lacked events in the middle.
func (p *proxy) pipe(to, from net.Conn, fromTarget bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		switch active := p.currentFault(); {
		case active == "silent" || active == "oneway" && fromTarget:
			dropped = true
		case active == "delay":
			<-time.After(proxyDelay)
		}
		if dropped {
			n = 0
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

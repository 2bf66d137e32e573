package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands before a target and harms the connections through it.
type proxy struct {
	backend string

	mu    sync.Mutex
	harm  string // "", delay, reset, silent, oneway
	conns map[net.Conn]bool
}

// proxyDelay is what a delayed piece waits: several round trips between zones.
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

// set changes the harm; reset breaks what is open now.
func (p *proxy) set(harm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = harm
	if harm != "reset" {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.harm = ""
}

func (p *proxy) now() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
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

// pipe copies one way; answers says which. A connection that was silenced stays so for
// good: TCP never gives later bytes where earlier ones are missing. Passing them on after
// the silence left streams that were whole to look at and lacked events in their middle.
func (p *proxy) pipe(to, from net.Conn, answers bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	silenced := false
	for {
		n, err := from.Read(buffer)
		switch harm := p.now(); {
		case harm == "silent" || harm == "oneway" && answers:
			silenced = true
		case harm == "delay":
			<-time.After(proxyDelay)
		}
		if silenced {
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

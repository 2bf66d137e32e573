package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// proxy forwards connections to a target and injects link faults.
type proxy struct {
	backend string

	mu        sync.Mutex
	linkFault string // "", delay, reset, silent, oneway
	conns     map[net.Conn]bool
	listener  net.Listener // nil: connections are refused
	address   string
	faults    []linkSpan
	closed    bool
}

// linkSpan is a time in which the link had a fault.
type linkSpan struct{ from, to time.Time } // to is zero while it lasts

// proxyDelay is the delay of each chunk under the delay fault: several round trips between
// zones.
const proxyDelay = 30 * time.Millisecond

func (p *proxy) serve(l net.Listener) {
	p.mu.Lock()
	p.conns, p.listener, p.address = map[net.Conn]bool{}, l, l.Addr().String()
	p.mu.Unlock()
	p.accept(l)
}

func (p *proxy) accept(l net.Listener) {
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

// stop closes all connections and refuses new ones, as when the target's process has ended.
func (p *proxy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.resetConns()
}

// start accepts connections again after stop.
func (p *proxy) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	p.accept(l)
	return nil
}

// close stops the proxy at the end of the run.
func (p *proxy) close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// disturbedIn reports whether the link had a fault in a span.
func (p *proxy) disturbedIn(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.faults, func(s linkSpan) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// recordFault records the begin or the end of a fault. The caller holds mu.
func (p *proxy) recordFault(name string) {
	now := time.Now()
	if n := len(p.faults); n > 0 && p.faults[n-1].to.IsZero() {
		p.faults[n-1].to = now
	}
	if name != "" {
		p.faults = append(p.faults, linkSpan{from: now})
	}
}

// resetConns resets the connections open now. The caller holds mu.
func (p *proxy) resetConns() {
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close()
	}
}

// setFault sets the link fault. reset only closes the connections open now, and leaves no
// fault set.
func (p *proxy) setFault(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordFault(name)
	p.linkFault = name
	if name != "reset" {
		return
	}
	p.resetConns()
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
// complete and lacked events in the middle. Nor does it forward an orderly close after a gap, or in
// place of a reset: that is the end of an answer without a length.
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
		if err != nil {
			if err != io.EOF || dropped {
				resetOnClose(to)
			}
			return
		}
	}
}

// resetOnClose has a connection reset when it is closed.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
